import {ResultAsync} from 'neverthrow';
import {toValvesaddleError, ValvesaddleError} from '@valvesaddle/error';
import type {
	ClusterChange,
	ClusterChanges,
	ClusterStore,
	GatewayNode,
} from '@valvesaddle/gateway-types';
import type {EmulatedStore} from './emulated-store.ts';
import type {StoreResponseMode} from './store-response-mode.ts';

type EmulatedStoreOptions = {
	/**
	Timeout of a call, in milliseconds.
	*/
	readonly timeoutMs: number;
	readonly random: () => number;
};

type Item = {
	readonly change: ClusterChange;
	readonly lease: string | undefined;
};

type Lease = {
	readonly durationMs: number;
	expiresAt: number;
};

type Answer = {
	readonly send: (value: unknown) => void;
	readonly fail: (error: ValvesaddleError) => void;
};

type Watch = {
	readonly node: string;
	readonly after: number;
	readonly answer: Answer;
};

type Page = ClusterChanges & {
	readonly last: string | undefined;
	readonly isTruncated: boolean;
};

/**
Minimum latency of a call or an answer, in milliseconds; the maximum is twice this.
*/
const minimumLatencyMs = 1;
/**
Items on one page of a list: few, so that the list of a small fleet has several pages.
*/
const pageItems = 50;
/**
Interval between checks for expired leases, in milliseconds.
*/
const expiryIntervalMs = 100;

const configurationKey = 'configuration';
const endpointPrefix = 'endpoints/';
const nodePrefix = 'valvesaddle/nodes/';

/**
 Creates an empty emulated metadata store with revisions, lists whose pages are not one snapshot, watches, leases and history.

 @example
 const store = createEmulatedStore({timeoutMs: 1000, random});
 const changes = await store.open(node).list();
 */
export function createEmulatedStore({timeoutMs, random}: EmulatedStoreOptions): EmulatedStore {
	const items = new Map<string, Item>();
	const leases = new Map<string, Lease>();
	const waiting = new Set<Watch>();
	const responseModes = new Map<string, StoreResponseMode>();
	const ended = new Set<string>();
	const calls: Record<string, number> = {};
	let history: ClusterChange[] = [];
	/**
	Changes up to this revision are no longer in the history.
	*/
	let compactedRevision = 0;
	let revision = 0;
	let lastLease = 0;
	let isQuiet = false;
	let addedLatencyMs = 0;
	let watchesMissed = 0;

	setInterval(expireLeases, expiryIntervalMs);

	function expireLeases(): void {
		const now = performance.now();
		for (const [id, {expiresAt}] of leases) {
			if (expiresAt <= now) {
				removeLease(id);
			}
		}
	}

	function removeLease(id: string): void {
		leases.delete(id);
		for (const [key, {lease}] of items) {
			if (lease === id) {
				removeItem(key);
			}
		}
	}

	function recordChange(change: ClusterChange): void {
		history.push(change);
		if (isQuiet) {
			return;
		}

		for (const watch of waiting) {
			answerWatch(watch);
		}
	}

	function writeItem(key: string, change: ClusterChange, lease?: string): void {
		items.set(key, {change, lease});
		recordChange(change);
	}

	function removeItem(key: string): void {
		const {change} = items.get(key)!;
		items.delete(key);
		revision++;
		if (change.kind === 'endpoint') {
			recordChange({kind: 'endpoint-removed', id: change.endpoint.id, revision});
		} else if (change.kind === 'node') {
			recordChange({kind: 'node-removed', id: change.node.id, revision});
		}
	}

	function listAfter(after: number): readonly ClusterChange[] {
		return history.filter(change => change.revision > after);
	}

	function answerWatch(watch: Watch): void {
		const changes = listAfter(watch.after);
		if (changes.length === 0) {
			return;
		}

		waiting.delete(watch);
		watch.answer.send({revision, changes});
	}

	function failWatches(isAffected: (watch: Watch) => boolean): void {
		for (const watch of waiting) {
			if (!isAffected(watch)) {
				continue;
			}

			waiting.delete(watch);
			watch.answer.fail(createUnavailable('the connection was reset'));
		}
	}

	function drawLatency(): number {
		return minimumLatencyMs * (1 + random());
	}

	/**
	Emulates one call: latency both ways, the response mode of the node, and the timeout.
	*/
	async function sendCall<Value>(name: string, node: string, handle: (answer: Answer) => void, waitMs = 0): Promise<Value> {
		calls[name] = (calls[name] ?? 0) + 1;
		const {promise, resolve, reject} = Promise.withResolvers<Value>();
		if (ended.has(node)) {
			return promise;
		}

		const timer = setTimeout(() => {
			reject(createUnavailable('the call timed out'));
		}, waitMs + timeoutMs);
		const settle = (deliver: () => void) => {
			setTimeout(() => {
				if (ended.has(node) || responseModes.get(node) === 'silence') {
					return;
				}

				clearTimeout(timer);
				deliver();
			}, drawLatency() + addedLatencyMs);
		};

		const answer: Answer = {
			send(value) {
				settle(() => {
					resolve(value as Value);
				});
			},
			fail(error) {
				settle(() => {
					reject(error);
				});
			},
		};
		const modeHandlers: Readonly<Record<StoreResponseMode, () => void>> = {
			served() {
				handle(answer);
			},
			status() {
				answer.fail(createUnavailable('the store answered 503'));
			},
			reset() {
				answer.fail(createUnavailable('the connection was reset'));
			},
			silence() {
				// The call times out.
			},
		};
		setTimeout(() => {
			modeHandlers[responseModes.get(node) ?? 'served']();
		}, drawLatency());
		return promise;
	}

	function readPage(after: string): Page {
		const keys = items.keys().filter(key => key > after).toArray().toSorted();
		const shown = keys.slice(0, pageItems);
		return {
			revision, changes: shown.map(key => items.get(key)!.change), last: shown.at(-1), isTruncated: keys.length > pageItems,
		};
	}

	/**
	Pages are not one snapshot, so the list has the revision of the first page: a watch from there repeats what later pages may
	lack.
	*/
	async function listAll(node: string): Promise<ClusterChanges> {
		const changes: ClusterChange[] = [];
		let first: number | undefined;
		for (let after = '', isMore = true; isMore;) {
			const from = after;
			// eslint-disable-next-line no-await-in-loop -- the next page begins after the last key of this one
			const page = await sendCall<Page>('list', node, answer => {
				answer.send(readPage(from));
			});
			first ??= page.revision;
			changes.push(...page.changes);
			after = page.last ?? '';
			isMore = page.isTruncated;
		}

		return {revision: first ?? 0, changes};
	}

	async function watchChanges(node: string, after: number, waitMs: number): Promise<ClusterChanges> {
		return sendCall('watch', node, answer => {
			if (after < compactedRevision) {
				answer.fail(new ValvesaddleError('ERR_VALVESADDLE_KV_HISTORY_LOST', 'the store answered 410'));
				return;
			}

			const watch: Watch = {node, after, answer};
			waiting.add(watch);
			if (!isQuiet) {
				answerWatch(watch);
			}

			setTimeout(() => {
				if (!waiting.delete(watch)) {
					return;
				}

				watchesMissed += listAfter(after).length > 0 ? 1 : 0;
				answer.send({revision, changes: []});
			}, waitMs);
		}, waitMs);
	}

	async function registerNode(node: GatewayNode, durationMs: number): Promise<string> {
		const lease = await sendCall<string>('open-lease', node.id, answer => {
			const id = String(++lastLease);
			leases.set(id, {durationMs, expiresAt: performance.now() + durationMs});
			answer.send(id);
		});
		return sendCall('write', node.id, answer => {
			if (!leases.has(lease)) {
				answer.fail(createUnavailable('the store answered 404'));
				return;
			}

			revision++;
			writeItem(`${nodePrefix}${node.id}`, {kind: 'node', revision, node}, lease);
			answer.send(lease);
		});
	}

	return {
		open: ({id}): ClusterStore => ({
			list: () => ResultAsync.fromPromise(listAll(id), toValvesaddleError),
			watch: (after, waitMs) => ResultAsync.fromPromise(watchChanges(id, after, waitMs), toValvesaddleError),
			register: (node, leaseMs) => ResultAsync.fromPromise(registerNode(node, leaseMs), toValvesaddleError),
			renew: lease => ResultAsync.fromPromise(sendCall<boolean>('renew', id, answer => {
				const openLease = leases.get(lease);
				if (openLease !== undefined) {
					openLease.expiresAt = performance.now() + openLease.durationMs;
				}

				answer.send(openLease !== undefined);
			}), toValvesaddleError),
			release: lease => ResultAsync.fromPromise(sendCall<void>('end-lease', id, answer => {
				removeLease(lease);
				answer.send(undefined);
			}), toValvesaddleError),
			async close() {
				// Nothing to close.
			},
		}),
		writeConfiguration(configuration) {
			revision++;
			writeItem(configurationKey, {kind: 'configuration', revision, configuration});
		},
		writeEndpoint(endpoint) {
			revision++;
			writeItem(`${endpointPrefix}${endpoint.id}`, {kind: 'endpoint', revision, endpoint});
		},
		removeEndpoint(id) {
			removeItem(`${endpointPrefix}${id}`);
		},
		setQuiet(isOn) {
			isQuiet = isOn;
			if (isOn) {
				return;
			}

			history = [];
			compactedRevision = revision;
			failWatches(() => true);
		},
		setAddedLatency(milliseconds) {
			addedLatencyMs = milliseconds;
		},
		setResponseMode(mode, nodes) {
			for (const node of nodes) {
				responseModes.set(node, mode);
			}

			if (mode === 'reset') {
				failWatches(({node}) => nodes.has(node));
			}
		},
		endNode(node) {
			ended.add(node);
		},
		calls: () => calls,
		countMissedWatches: () => watchesMissed,
	};
}

function createUnavailable(message: string): ValvesaddleError {
	return new ValvesaddleError('ERR_VALVESADDLE_KV_UNAVAILABLE', message);
}
