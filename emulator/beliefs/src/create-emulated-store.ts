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
	Time after which a node gives up a call, in milliseconds.
	*/
	readonly timeoutMs: number;
	readonly random: () => number;
};

type Item = {
	readonly change: ClusterChange;
	readonly lease: string | undefined;
};

type Lease = {
	readonly termMs: number;
	endsAt: number;
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
Time of a call or an answer under way: from this to twice this, in milliseconds.
*/
const wayMs = 1;
/**
Items on one page of a list: a tenth of the platform's, so that a small fleet has several.
*/
const pageItems = 50;
/**
How often the store looks for leases that are over, in milliseconds.
*/
const sweepMs = 100;

const configurationKey = 'configuration';
const endpointPrefix = 'endpoints/';
const nodePrefix = 'valvesaddle/nodes/';

/**
 Creates an emulated metadata store, empty at first: revisions, pages that are no snapshot, watches, leases and history.

 @example
 const store = createEmulatedStore({timeoutMs: 1000, random});
 const changes = await store.open(node).list();
 */
export function createEmulatedStore({timeoutMs, random}: EmulatedStoreOptions): EmulatedStore {
	const items = new Map<string, Item>();
	const leases = new Map<string, Lease>();
	const waiting = new Set<Watch>();
	const treatments = new Map<string, StoreResponseMode>();
	const ended = new Set<string>();
	const calls: Record<string, number> = {};
	let history: ClusterChange[] = [];
	/**
	Changes after this revision are known.
	*/
	let historyStart = 0;
	let revision = 0;
	let lastLease = 0;
	let isQuiet = false;
	let addedMs = 0;
	let watchesMissed = 0;

	setInterval(expireLeases, sweepMs);

	function expireLeases(): void {
		const now = performance.now();
		for (const [id, {endsAt}] of leases) {
			if (endsAt <= now) {
				endLease(id);
			}
		}
	}

	function endLease(id: string): void {
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

	function failWatches(isCut: (watch: Watch) => boolean): void {
		for (const watch of waiting) {
			if (!isCut(watch)) {
				continue;
			}

			waiting.delete(watch);
			watch.answer.fail(createUnavailable('the connection was reset'));
		}
	}

	function drawWay(): number {
		return wayMs * (1 + random());
	}

	/**
	One call: under way, treated as the node's calls are, answered, and given up when it takes too long.
	*/
	async function sendCall<Value>(name: string, node: string, handle: (answer: Answer) => void, waitMs = 0): Promise<Value> {
		calls[name] = (calls[name] ?? 0) + 1;
		const {promise, resolve, reject} = Promise.withResolvers<Value>();
		if (ended.has(node)) {
			return promise;
		}

		const giveUp = setTimeout(() => {
			reject(createUnavailable('no answer in time'));
		}, waitMs + timeoutMs);
		const settle = (hand: () => void) => {
			setTimeout(() => {
				if (ended.has(node) || treatments.get(node) === 'silence') {
					return;
				}

				clearTimeout(giveUp);
				hand();
			}, drawWay() + addedMs);
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
		const treatmentHandlers: Readonly<Record<StoreResponseMode, () => void>> = {
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
				// The call is given up when its time is over.
			},
		};
		setTimeout(() => {
			treatmentHandlers[treatments.get(node) ?? 'served']();
		}, drawWay());
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
	Pages are no snapshot: watching from the first page's revision brings what later pages may lack.
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
			if (after < historyStart) {
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

	async function registerNode(node: GatewayNode, termMs: number): Promise<string> {
		const lease = await sendCall<string>('open-lease', node.id, answer => {
			const id = String(++lastLease);
			leases.set(id, {termMs, endsAt: performance.now() + termMs});
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
				const held = leases.get(lease);
				if (held !== undefined) {
					held.endsAt = performance.now() + held.termMs;
				}

				answer.send(held !== undefined);
			}), toValvesaddleError),
			release: lease => ResultAsync.fromPromise(sendCall<void>('end-lease', id, answer => {
				endLease(lease);
				answer.send(undefined);
			}), toValvesaddleError),
			async close() {
				// Nothing is open.
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
			historyStart = revision;
			failWatches(() => true);
		},
		setAddedLatency(milliseconds) {
			addedMs = milliseconds;
		},
		setResponseMode(treatment, nodes) {
			for (const node of nodes) {
				treatments.set(node, treatment);
			}

			if (treatment === 'reset') {
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
