import type {Logger} from '@valvesaddle/logger';
import type {Metrics} from '@valvesaddle/metrics';
import type {PeerNetwork} from '@valvesaddle/network';
import {createQuarantine, type CrashRow} from '@valvesaddle/quarantine';
import {quarantineSchema} from './quarantine-schema.ts';
import type {QuarantineSync} from './quarantine-sync.ts';

/**
Options of `createQuarantineSync`.
*/
type QuarantineSyncOptions = {
	readonly network: Pick<PeerNetwork, 'connected' | 'isReady' | 'notify'>;
	/**
	Whether this node may try a quarantined request again.
	*/
	readonly isTrialNode: (digest: string) => boolean;
	readonly logger: Logger;
	readonly metrics: Metrics;
};

/**
Limits a message to about 4 kB.
*/
const maximumRows = 64;
/**
Interval between two messages on a link. Crashes must be known everywhere within seconds, over two relays.
*/
const sendIntervalMs = 50;

/**
 Creates the exchange of crashes: a node sends the rows that are new to it over all its links but the one that they came from, so
 relays pass them on to the whole fleet. Rows are merged in any order, and each is forwarded once.

 @example
 const sync = createQuarantineSync({network, isTrialNode, logger, metrics});
 sync.quarantine.recordCrash('i-7f', [digest]);
 */
export function createQuarantineSync({network, isTrialNode, logger, metrics}: QuarantineSyncOptions): QuarantineSync {
	/**
	Rows to send on each link, the latest state of each.
	*/
	const pending = new Map<string, Map<string, CrashRow>>();
	let source: string | undefined;
	let timer: NodeJS.Timeout | undefined;

	const quarantine = createQuarantine({
		isTrialNode,
		onChanged(rows) {
			metrics.gauge('gateway.suspect-requests', quarantine.countRequests());
			for (const node of network.connected()) {
				if (node !== source) {
					addPending(node, rows);
				}
			}
		},
		onQuarantined(digest, endpoints) {
			metrics.increment('gateway.quarantined-requests');
			logger.warn({name: 'request-quarantined', digest, endpoints});
		},
	});

	function addPending(node: string, rows: readonly CrashRow[]): void {
		const waiting = pending.get(node) ?? new Map<string, CrashRow>();
		pending.set(node, waiting);
		for (const row of rows) {
			const [digest, endpoint] = row;
			waiting.set(`${digest} ${endpoint}`, row);
		}

		timer ??= setTimeout(send, 0).unref();
	}

	function sendTo(node: string, waiting: Map<string, CrashRow>): void {
		const batch = waiting.entries().take(maximumRows).toArray();
		for (const [key] of batch) {
			waiting.delete(key);
		}

		network.notify(node, 'quarantine.rows', {rows: batch.map(([, row]) => row)});
		if (waiting.size === 0) {
			pending.delete(node);
		}
	}

	function send(): void {
		timer = undefined;
		for (const [node, waiting] of pending) {
			if (network.isReady(node)) {
				sendTo(node, waiting);
			}
		}

		if (pending.size > 0) {
			timer = setTimeout(send, sendIntervalMs).unref();
		}
	}

	return {
		quarantine,
		sendFull(node) {
			const rows = quarantine.list();
			if (rows.length > 0) {
				addPending(node, rows);
			}
		},
		removeLink(node) {
			pending.delete(node);
		},
		apply(parameters, node) {
			source = node;
			quarantine.merge(quarantineSchema.parse(parameters).rows);
			source = undefined;
		},
		close() {
			clearTimeout(timer);
			pending.clear();
		},
	};
}
