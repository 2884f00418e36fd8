import {setTimeout as wait} from 'node:timers/promises';
import type {ClusterView} from '@valvesaddle/cluster-view';
import type {Logger} from '@valvesaddle/logger';
import type {Metrics} from '@valvesaddle/metrics';
import type {PeerNetwork} from '@valvesaddle/network';
import {clusterStateSchema} from './cluster-state-schema.ts';
import {noVersion} from './no-version.ts';
import type {StateTaker} from './state-taker.ts';

type StateTakerOptions = {
	readonly network: Pick<PeerNetwork, 'call'>;
	readonly view: ClusterView;
	/**
	Time that a peer has to answer before another may be asked, in milliseconds.
	*/
	readonly patienceMs: number;
	readonly logger: Logger;
	readonly metrics: Metrics;
};

/**
 Creates the taker of peers' states. It asks one peer at a time; one that leaves the question open keeps no other from being
 asked, and what it says later is still taken in.

 @example
 const states = createStateTaker({network, view, patienceMs: 750, logger, metrics});
 states.ask('n2');
 */
export function createStateTaker({network, view, patienceMs, logger, metrics}: StateTakerOptions): StateTaker {
	/**
	Number of the question that is open; an answer to an earlier one ends no later one.
	*/
	let question = 0;
	let isAsking = false;
	/**
	Peers that have not answered yet. Another question would only put a second whole state behind the first.
	*/
	const unanswered = new Set<string>();

	function isOpen(asked: number): boolean {
		return isAsking && asked === question;
	}

	async function takeState(node: string, asked: number): Promise<void> {
		const startedAt = performance.now();
		unanswered.add(node);
		const answered = await network.call(node, 'cluster.state', {});
		unanswered.delete(node);
		isAsking &&= !isOpen(asked);
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
				elapsedMs: Math.round(performance.now() - startedAt),
			});
			view.importState(parsed.data);
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
		canAsk: node => !isAsking && !unanswered.has(node),
		ask(node) {
			question++;
			isAsking = true;
			const asked = question;
			void endLate(node, asked);
			void takeState(node, asked);
		},
	};
}
