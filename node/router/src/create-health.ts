import {ValvesaddleError} from '@valvesaddle/error';
import {rankOwners} from '@valvesaddle/ownership';
import type {Health} from './health.ts';
import type {HealthOptions} from './health-options.ts';
import type {NodeState} from './node-state.ts';

/**
Peers that a node checks every round, always the same ones so that few links are open.
*/
const neighbourCount = 3;
/**
Rounds without any response after which the node is isolated.
*/
const isolationRounds = 2;
const retryAfterMs = 1000;

/**
 Creates the health of a node. Every round it sends its revision to its neighbours, which return a newer configuration if
 they have one. A node that reaches neither a neighbour nor the key-value service refuses new requests, since its
 configuration may be stale.

 @example
 const health = createHealth(options);
 health.start();
 */
export function createHealth(options: HealthOptions): Health {
	const {follower, store, membership, network, logger, node} = options;
	let failedRounds = 0;
	let drainPhase: 'no' | 'grace' | 'refuse' = 'no';
	let timer: NodeJS.Timeout | undefined;
	let loggedState: NodeState = 'starting';

	function getState(): NodeState {
		if (drainPhase !== 'no') {
			return 'draining';
		}

		if (failedRounds >= isolationRounds) {
			return 'isolated';
		}

		return follower.isInitialized() || follower.revision() > 0 ? 'ready' : 'starting';
	}

	function recordStateChange(): void {
		const state = getState();
		if (state === loggedState) {
			return;
		}

		logger.info({name: 'node-state', from: loggedState, to: state});
		loggedState = state;
	}

	function listNeighbours(): readonly string[] {
		return rankOwners(`neighbours/${node}`, membership.others()).slice(0, neighbourCount);
	}

	async function didRespond(neighbour: string): Promise<boolean> {
		const result = await network.call(neighbour, 'configuration.compare', {revision: follower.revision()});
		if (result.isErr()) {
			membership.suspect(neighbour);
			return false;
		}

		membership.trust(neighbour);
		follower.offerText(result.value, neighbour);
		return true;
	}

	async function canReadStore(): Promise<boolean> {
		const result = await store.read();
		return result.isOk();
	}

	async function runRound(): Promise<void> {
		const neighbours = listNeighbours();
		if (neighbours.length === 0) {
			failedRounds = 0;
			return;
		}

		const responses = await Promise.all(neighbours.map(async neighbour => didRespond(neighbour)));
		const isConnected = responses.includes(true) || await canReadStore();
		failedRounds = isConnected ? 0 : failedRounds + 1;
		recordStateChange();
	}

	const refusals: Readonly<Record<NodeState, () => ValvesaddleError | undefined>> = {
		starting: () => new ValvesaddleError('ERR_VALVESADDLE_NOT_READY', 'the node has no configuration yet', {retryAfterMs}),
		isolated: () => new ValvesaddleError('ERR_VALVESADDLE_NOT_READY', 'the node reaches no other node and no key-value service', {retryAfterMs}),
		draining: () => drainPhase === 'refuse' ? new ValvesaddleError('ERR_VALVESADDLE_DRAINING', 'the node is leaving', {retryAfterMs}) : undefined,
		ready: () => undefined,
	};

	return {
		start() {
			timer = setInterval(() => {
				void runRound();
			}, options.gossipMs);
			timer.unref();
			follower.events.on('changed', recordStateChange);
		},
		state: getState,
		markDraining() {
			drainPhase = 'grace';
			recordStateChange();
		},
		refuseNew() {
			drainPhase = 'refuse';
		},
		refusal: () => refusals[getState()](),
		close() {
			clearInterval(timer);
		},
	};
}
