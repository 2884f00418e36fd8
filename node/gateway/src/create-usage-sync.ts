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
	The time of day that belongs to a time on the steady clock, in Unix milliseconds.
	*/
	readonly toUnixTime: (at: number) => number;
};

/**
Windows that are kept: two minutes of usual ones, so that what an outage held back is reported after it.
*/
const windowsKept = 24;

/**
 Creates the exchange of counts of usage: each node tells its relay, relays tell all that may hold the duty. Rows are sums that
 only rise, so it does no harm when they come twice or by two ways.

 @example
 const usage = createUsageSync({node: 'n1', network, links, windowMs: 5000, toUnixTime});
 usage.count('sawmill', performance.now());
 */
export function createUsageSync({node: self, network, links, windowMs, toUnixTime}: UsageSyncOptions): UsageSync {
	const book = createUsageCounters(self);
	/**
	Rows to be sent, each in its last state.
	*/
	const fresh = new Map<string, UsageRow>();
	/**
	Nodes that have been told all up to the last rows.
	*/
	let told: ReadonlySet<string> = new Set();

	function toWindow(at: number): number {
		return Math.floor(toUnixTime(at) / windowMs);
	}

	function addFresh(rows: readonly UsageRow[]): void {
		for (const row of rows) {
			fresh.set(row.slice(0, -1).join(' '), row);
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
		book,
		count(account, at) {
			addFresh([book.count(toWindow(at), account)]);
		},
		send() {
			book.removeBefore(toWindow(performance.now()) - windowsKept);
			const rows = fresh.values().toArray();
			fresh.clear();
			const targets = listTargets();
			for (const node of targets) {
				// One that has become a candidate since was told nothing before.
				sendRows(node, told.has(node) ? rows : book.list());
			}

			told = new Set(targets);
		},
		introduce(node) {
			if (listTargets().includes(node)) {
				sendRows(node, book.list());
			}
		},
		apply(parameters, node) {
			const rows = book.merge(usageSchema.parse(parameters).rows);
			// What a relay tells it has told all that may hold the duty.
			if (!links.isRelay(node)) {
				addFresh(rows);
			}
		},
	};
}
