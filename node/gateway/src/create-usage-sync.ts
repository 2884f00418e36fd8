import {createUsageCounters, type UsageRow} from '@valvesaddle/duty-usage';
import type {PeerNetwork} from '@valvesaddle/network';
import type {LinkPlan} from './link-plan.ts';
import {usageSchema} from './usage-schema.ts';
import type {UsageSync} from './usage-sync.ts';

/**
Options of `createUsageSync`.
*/
type UsageSyncOptions = {
	readonly node: string;
	readonly network: Pick<PeerNetwork, 'notify'>;
	readonly links: Pick<LinkPlan, 'isRelay' | 'parent' | 'listFollowers'>;
	readonly windowMs: number;
	/**
	Converts a time on the monotonic clock to Unix milliseconds.
	*/
	readonly toUnixTime: (at: number) => number;
};

/**
Number of windows kept: two minutes at the default length, so that usage is still reported after an outage.
*/
const keptWindows = 24;

/**
 Creates the exchange of usage counts: each node sends its rows to its relay, relays forward them to all candidates for the duties.
 Rows are counters that only grow, so it is safe to receive one twice.

 @example
 const usage = createUsageSync({node: 'n1', network, links, windowMs: 5000, toUnixTime});
 usage.count('sawmill', performance.now());
 */
export function createUsageSync({node: self, network, links, windowMs, toUnixTime}: UsageSyncOptions): UsageSync {
	const counters = createUsageCounters(self);
	/**
	Rows to send, each with its latest count.
	*/
	const pendingRows = new Map<string, UsageRow>();
	/**
	Nodes that have received all rows up to the last ones.
	*/
	let sentNodes: ReadonlySet<string> = new Set();

	function toWindow(at: number): number {
		return Math.floor(toUnixTime(at) / windowMs);
	}

	function addPendingRows(rows: readonly UsageRow[]): void {
		for (const row of rows) {
			pendingRows.set(row.slice(0, -1).join(' '), row);
		}
	}

	function listTargets(): readonly string[] {
		const parent = links.parent();
		return parent === undefined ? links.listFollowers() : [parent];
	}

	function sendRows(node: string, rows: readonly UsageRow[]): void {
		if (rows.length > 0) {
			network.notify(node, 'usage.rows', {rows});
		}
	}

	return {
		counters,
		count(account, at) {
			addPendingRows([counters.count(toWindow(at), account)]);
		},
		send() {
			counters.removeBefore(toWindow(performance.now()) - keptWindows);
			const rows = pendingRows.values().toArray();
			pendingRows.clear();
			const targets = listTargets();
			for (const node of targets) {
				// A new candidate has received nothing before.
				sendRows(node, sentNodes.has(node) ? rows : counters.list());
			}

			sentNodes = new Set(targets);
		},
		sendFull(node) {
			if (listTargets().includes(node)) {
				sendRows(node, counters.list());
			}
		},
		apply(parameters, node) {
			const rows = counters.merge(usageSchema.parse(parameters).rows);
			// A relay sends its rows to all candidates itself.
			if (!links.isRelay(node)) {
				addPendingRows(rows);
			}
		},
	};
}
