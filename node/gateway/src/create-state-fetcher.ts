import {setTimeout as wait} from 'node:timers/promises';
import type {ClusterView} from '@valvesaddle/cluster-view';
import type {Logger} from '@valvesaddle/logger';
import type {Metrics} from '@valvesaddle/metrics';
import type {PeerNetwork} from '@valvesaddle/network';
import {clusterStateSchema} from './cluster-state-schema.ts';
import {noVersion} from './no-version.ts';
import type {StateRequest} from './state-request.ts';
import type {StateFetcher} from './state-fetcher.ts';

type StateFetcherOptions = {
	readonly network: Pick<PeerNetwork, 'call'>;
	readonly view: ClusterView;
	/**
	Time without an answer after which another peer may be called, and first delay between two calls to a peer, in milliseconds.
	*/
	readonly answerTimeoutMs: number;
	readonly logger: Logger;
	readonly metrics: Metrics;
};

/**
Time after which a peer that has not answered is called again, in milliseconds; far longer than the largest state takes on a slow link.
*/
const maximumAnswerMs = 10_000;
/**
Longest delay between two calls to a peer whose state changes nothing, in milliseconds.
*/
const maximumDelayMs = 60_000;

/**
 Creates the fetcher of the cluster state. It calls one peer at a time; after the answer timeout another peer can be called, and a
 late answer is still applied.

 @example
 const stateFetcher = createStateFetcher({network, view, answerTimeoutMs: 750, logger, metrics});
 stateFetcher.startRead('n2', 'newer');
 */
export function createStateFetcher({network, view, answerTimeoutMs, logger, metrics}: StateFetcherOptions): StateFetcher {
	/**
	Number of the last request; an answer to an earlier one doesn't end it.
	*/
	let lastRequest = 0;
	let isWaiting = false;
	/**
	When each peer may be called again, on the monotonic clock in milliseconds. A second request would only queue another whole
	state behind the first; the delay doubles while a peer's state changes nothing.
	*/
	const backoffs = new Map<string, {readonly at: number; readonly delayMs: number}>();

	function isOpen(requestNumber: number): boolean {
		return isWaiting && requestNumber === lastRequest;
	}

	async function readState(node: string, requestNumber: number, request: StateRequest): Promise<void> {
		const startedAt = performance.now();
		const before = `${view.revision()} ${view.digest()}`;
		const delayMs = backoffs.get(node)?.delayMs ?? answerTimeoutMs;
		backoffs.set(node, {at: startedAt + maximumAnswerMs, delayMs});
		const answer = await network.call(node, 'cluster.state', request);
		isWaiting &&= !isOpen(requestNumber);
		backoffs.set(node, {at: performance.now() + delayMs, delayMs: Math.min(maximumDelayMs, delayMs * 2)});
		answer.match(state => {
			const parsed = clusterStateSchema.safeParse(state);
			if (!parsed.success) {
				logger.warn({
					name: 'peer-state', peer: node, reachable: true, reason: `invalid cluster state: ${parsed.error.message}`,
				});
				return;
			}

			metrics.increment('gateway.states-from-peers');
			logger.info({
				name: 'peer-state-taken', peer: node, peerRevision: parsed.data.revision, peerVersion: parsed.data.configuration?.version ?? noVersion,
				elapsedMs: Math.round(performance.now() - startedAt), since: parsed.data.since,
			});
			view.importState(parsed.data);
			if (`${view.revision()} ${view.digest()}` !== before) {
				backoffs.delete(node);
			}
		}, error => {
			logger.info({
				name: 'peer-state', peer: node, reachable: false, reason: error.message,
			});
		});
	}

	async function expireRequest(node: string, requestNumber: number): Promise<void> {
		await wait(answerTimeoutMs, undefined, {ref: false});
		if (!isOpen(requestNumber)) {
			return;
		}

		isWaiting = false;
		logger.info({
			name: 'peer-state', peer: node, reachable: false, reason: `no cluster state received within ${answerTimeoutMs} ms`,
		});
	}

	return {
		canRead: node => !isWaiting && performance.now() >= (backoffs.get(node)?.at ?? 0),
		startRead(node, what) {
			lastRequest++;
			isWaiting = true;
			const requestNumber = lastRequest;
			void expireRequest(node, requestNumber);
			void readState(node, requestNumber, what === 'newer' ? {since: view.revision()} : {});
		},
	};
}
