import {createWaitBaselines, type AdmissionSettings} from '@valvesaddle/admission';
import type {ExchangeClient} from '@valvesaddle/exchange';
import {createForwarder, type ForwardTask} from '@valvesaddle/forwarding';
import type {Logger} from '@valvesaddle/logger';
import type {Metrics} from '@valvesaddle/metrics';
import {createCrashDetector, createQuarantine, type CrashRow} from '@valvesaddle/quarantine';
import {createRetryBudget} from '@valvesaddle/retry-budget';
import {createSelector, type SelectorOptions} from '@valvesaddle/selection';
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
 const node = createEmulatedNode({id: 'n-0', load, selection, admission, exchanges, endpoints: ['e-0'], thread, logger, leaving: 'secured', isReadFirst: false, isFailureCounted: true, onCrashes() {}});
 */
export function createEmulatedNode({id, load, selection, admission, exchanges, endpoints, thread, logger, leaving, isReadFirst, isFailureCounted, onCrashes}: EmulatedNodeOptions): EmulatedNode {
	let handlePlacement = (): void => {
		// No handler is set.
	};

	const selector = createSelector({
		...selection,
		fleet: {self: id, list: () => Array.from({length: load.nodes}, (_value, index) => `n-${index}`)},
		hasConnection: address => exchanges.hasIdle(address),
		onPlacement() {
			handlePlacement();
		},
	});
	selector.setPools([{name: 'engines', engine: {slots: load.engine.slots, cacheTokens: load.engine.cacheTokens}}]);
	selector.setPauseObjectives(new Map([['engines', Math.min(...load.classes.map(({pauseMs}) => pauseMs))]]));
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
		wire: emulatorWire, selector: gated, exchanges, budget, waits: createWaitBaselines(), quarantine, crashDetector, admission, logger, metrics,
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
