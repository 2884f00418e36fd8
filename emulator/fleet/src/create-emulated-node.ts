import {createWaitBaselines, type AdmissionSettings} from '@valvesaddle/admission';
import type {ExchangeClient} from '@valvesaddle/exchange';
import {createForwarder, type ForwardTask} from '@valvesaddle/forwarding';
import type {Logger} from '@valvesaddle/logger';
import type {Metrics} from '@valvesaddle/metrics';
import {createCrashDetector, createQuarantine, type CrashRow} from '@valvesaddle/quarantine';
import {createRetryBudget} from '@valvesaddle/retry-budget';
import {createSelector, type SelectorOptions} from '@valvesaddle/selection';
import {createTurns, createWaitingRoom} from '@valvesaddle/waiting-room';
import {createAttemptGate} from './create-attempt-gate.ts';
import type {EmulatedNode} from './emulated-node.ts';
import type {EmulationLoad} from './emulation-load.ts';
import {emulatorWire} from './emulator-wire.ts';
import type {LeavingPolicy} from './leaving-policy.ts';
import type {NodeThread} from './node-thread.ts';

type EmulatedNodeOptions = {
	readonly id: string;
	readonly load: EmulationLoad;
	readonly selection: SelectorOptions;
	readonly admission: AdmissionSettings;
	readonly exchanges: ExchangeClient;
	readonly endpoints: readonly string[];
	readonly thread: NodeThread;
	readonly logger: Logger;
	readonly leaving: LeavingPolicy;
	readonly isReadFirst: boolean;
	readonly isFailureCounted: boolean;
	readonly isWaiting: boolean;
	/**
	Called with crashes that are new to the node.
	*/
	readonly onCrashes: (rows: readonly CrashRow[]) => void;
};

/**
Retry budget: the defaults of the gateway's settings.
*/
const defaultRetryBudget = {ratio: 0.2, slack: 50};
const retryWindowMs = 10_000;
/**
Size of the waiting room: the defaults of the gateway's settings.
*/
const roomSize = {most: 1000, mostBytes: 32_000_000};

const metrics: Metrics = {
	increment() {
		// Not recorded.
	},
	gauge() {
		// Not recorded.
	},
	timing() {
		// Not recorded.
	},
	total: () => 0,
	totals: () => ({}),
	async close() {
		// Nothing is open.
	},
};

/**
 Creates an emulated node from the packages of the gateway.

 @example
 const node = createEmulatedNode({id: 'n-0', load, selection, admission, exchanges, endpoints: ['e-0'], thread, logger, leaving: 'secured', isReadFirst: false, isFailureCounted: true, isWaiting: false, onCrashes() {}});
 */
export function createEmulatedNode({id, load, selection, admission, exchanges, endpoints, thread, logger, leaving, isReadFirst, isFailureCounted, isWaiting, onCrashes}: EmulatedNodeOptions): EmulatedNode {
	let handlePlacement = (): void => {
		// No handler is set.
	};

	const nodes = Array.from({length: load.nodes}, (_value, index) => `n-${index}`).toSorted();
	const fleet = {self: id, list: () => nodes};
	const room = isWaiting
		? createWaitingRoom({
			...roomSize, returnFactor: admission.retryAfterFactor, turns: createTurns({fleet, toUnixTime: at => at}), logger, metrics,
		})
		: undefined;
	const selector = createSelector({
		...selection,
		fleet,
		hasConnection: address => exchanges.hasIdle(address),
		onPlacement() {
			handlePlacement();
		},
		onRoom(incarnation) {
			room?.wake(incarnation);
		},
	});
	selector.setPools([{name: 'engines', engine: {slots: load.engine.slots, cacheTokens: load.engine.cacheTokens}}]);
	const shortestPauseMs = Math.min(...load.classes.map(({pauseMs}) => pauseMs));
	selector.setPauseObjectives(new Map([['engines', shortestPauseMs]]));
	for (const endpoint of endpoints) {
		selector.addEndpoint({
			id: endpoint, pool: 'engines', address: endpoint, dataCentre: 'a', slots: load.engine.slots, state: 'ready',
		});
	}

	const budget = createRetryBudget({
		...(load.retryBudget ?? defaultRetryBudget), windowMs: retryWindowMs, countNodes: () => load.nodes,
	});
	const gated = createAttemptGate({
		selector, policy: leaving, incarnations: endpoints, isReadFirst, isFailureCounted,
	});
	const quarantine = createQuarantine({onChanged: onCrashes});
	const crashDetector = createCrashDetector({
		isServing: selector.isServing,
		onCrash: quarantine.recordCrash,
	});
	const forwarder = createForwarder({
		wire: emulatorWire, selector: gated, exchanges, budget, waits: createWaitBaselines(), quarantine, crashDetector, admission, room, logger, metrics,
	});
	return {
		id,
		selector,
		quarantine,
		crashDetector,
		thread,
		setOnPlacement(handle) {
			handlePlacement = handle;
		},
		forward(request, reply) {
			let task: ForwardTask | undefined;
			let isCancelled = false;
			thread.run(() => {
				task = isCancelled ? undefined : forwarder.forward(request, reply);
			});
			return {
				cancel() {
					isCancelled = true;
					thread.run(() => {
						task?.cancel();
					});
				},
			};
		},
	};
}
