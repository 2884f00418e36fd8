import {createWaitBaselines, type AdmissionSettings} from '@valvesaddle/admission';
import type {ExchangeClient} from '@valvesaddle/exchange';
import {createForwarder} from '@valvesaddle/forwarding';
import type {Logger} from '@valvesaddle/logger';
import type {Metrics} from '@valvesaddle/metrics';
import {createRetryBudget} from '@valvesaddle/retry-budget';
import {createSelector, type SelectorOptions} from '@valvesaddle/selection';
import type {EmulatedNode} from './emulated-node.ts';
import type {EmulationLoad} from './emulation-load.ts';
import {emulatorWire} from './emulator-wire.ts';

type EmulatedNodeOptions = {
	readonly id: string;
	readonly load: EmulationLoad;
	readonly selection: SelectorOptions;
	readonly admission: AdmissionSettings;
	readonly exchanges: ExchangeClient;
	readonly endpoints: readonly string[];
};

/**
Retry budget: the defaults of the gateway's settings.
*/
const retryRatio = 0.2;
const retrySlack = 50;
const retryWindowMs = 10_000;

const logger: Logger = {
	info() {
		// Not logged.
	},
	warn() {
		// Not logged.
	},
	error() {
		// Not logged.
	},
	async flush() {
		// Nothing is buffered.
	},
};
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
 const node = createEmulatedNode({id: 'n-0', load, selection, admission, exchanges, endpoints: ['e-0']});
 */
export function createEmulatedNode({id, load, selection, admission, exchanges, endpoints}: EmulatedNodeOptions): EmulatedNode {
	let handlePlacement = (): void => {
		// No handler is set.
	};

	const selector = createSelector({
		...selection, hasConnection: address => exchanges.hasIdle(address), onPlacement() {
			handlePlacement();
		},
	});
	selector.setPools([{name: 'engines', engine: {slots: load.engine.slots, cacheTokens: load.engine.cacheTokens}}]);
	for (const endpoint of endpoints) {
		selector.addEndpoint({
			id: endpoint, pool: 'engines', address: endpoint, dataCentre: 'a', slots: load.engine.slots, state: 'ready',
		});
	}

	const budget = createRetryBudget({
		ratio: retryRatio, slack: retrySlack, windowMs: retryWindowMs, countNodes: () => load.nodes,
	});
	return {
		id,
		selector,
		setOnPlacement(handle) {
			handlePlacement = handle;
		},
		forwarder: createForwarder({
			wire: emulatorWire, selector, exchanges, budget, waits: createWaitBaselines(), admission, logger, metrics,
		}),
	};
}
