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
	Time that a peer has to answer before another may be asked, in milliseconds.
	*/
	readonly answerTimeoutMs: number;
	readonly logger: Logger;
	readonly metrics: Metrics;
};

/**
Time after which a peer that has not answered is asked again, in milliseconds; far more than the largest state takes on a slow link.
*/
const longestAnswerMs = 10_000;
/**
Longest pause between two questions to a peer whose states do not help, in milliseconds.
*/
const longestPauseMs = 60_000;

/**
 Creates the taker of peers' states. It asks one peer at a time; one that leaves the question open keeps no other from being
 asked, and what it says later is still taken in.

 @example
 const states = createStateTaker({network, view, patienceMs: 750, logger, metrics});
 states.ask('n2', 'newer');
 */
export function createStateFetcher({network, view, answerTimeoutMs: patienceMs, logger, metrics}: StateFetcherOptions): StateFetcher {
	/**
	Number of the question that is open; an answer to an earlier one ends no later one.
	*/
	let question = 0;
	let isAsking = false;
	/**
	When a peer may be asked again, on the steady clock in milliseconds. A second question would only put another whole state
	behind the first; one whose state did not help is asked less and less often.
	*/
	const again = new Map<string, {readonly at: number; readonly pauseMs: number}>();

	function isOpen(asked: number): boolean {
		return isAsking && asked === question;
	}

	async function takeState(node: string, asked: number, toAsk: StateRequest): Promise<void> {
		const startedAt = performance.now();
		const before = `${view.revision()} ${view.digest()}`;
		const pauseMs = again.get(node)?.pauseMs ?? patienceMs;
		again.set(node, {at: startedAt + longestAnswerMs, pauseMs});
		const answered = await network.call(node, 'cluster.state', toAsk);
		isAsking &&= !isOpen(asked);
		again.set(node, {at: performance.now() + pauseMs, pauseMs: Math.min(longestPauseMs, pauseMs * 2)});
		answered.match(state => {
			const parsed = clusterStateSchema.safeParse(state);
			if (!parsed.success) {
				logger.warn({
					name: 'peer-state', peer: node, reachable: true, reason: `its state cannot be read: ${parsed.error.message}`,
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
				again.delete(node);
			}
		}, error => {
			logger.info({
				name: 'peer-state', peer: node, reachable: false, reason: error.message,
			});
		});
	}

	async function endLate(node: string, asked: number): Promise<void> {
		await wait(patienceMs, undefined, {ref: false});
		if (!isOpen(asked)) {
			return;
		}

		isAsking = false;
		logger.info({
			name: 'peer-state', peer: node, reachable: false, reason: `its state has not come within ${patienceMs} ms`,
		});
	}

	return {
		canRead: node => !isAsking && performance.now() >= (again.get(node)?.at ?? 0),
		startRead(node, what) {
			question++;
			isAsking = true;
			const asked = question;
			void endLate(node, asked);
			void takeState(node, asked, what === 'newer' ? {since: view.revision()} : {});
		},
	};
}
