import {createUsualWaits, type AdmissionSettings} from '@valvesaddle/admission';
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
Second tries as the gateway's settings have them by default.
*/
const retryRatio = 0.2;
const retrySlack = 50;
const retryWindowMs = 10_000;

const logger: Logger = {
	info() {
		// Figures of an emulation come from its callers.
	},
	warn() {
		// As above.
	},
	error() {
		// As above.
	},
	async flush() {
		// Nothing is kept.
	},
};
const metrics: Metrics = {
	increment() {
		// As above.
	},
	gauge() {
		// As above.
	},
	timing() {
		// As above.
	},
	total: () => 0,
	totals: () => ({}),
	async close() {
		// Nothing is open.
	},
};

/**
 Creates a node of the emulation from the real packages.

 @example
 const node = createEmulatedNode({id: 'n-0', load, selection, admission, exchanges, endpoints: ['e-0']});
 */
export function createEmulatedNode({id, load, selection, admission, exchanges, endpoints}: EmulatedNodeOptions): EmulatedNode {
	let handlePlaced = (): void => {
		// Nobody asked to be told.
	};

	const selector = createSelector({
		...selection, hasConnection: address => exchanges.hasIdle(address), onPlaced() {
			handlePlaced();
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
			handlePlaced = handle;
		},
		forwarder: createForwarder({
			wire: emulatorWire, selector, exchanges, budget, waits: createUsualWaits(), admission, logger, metrics,
		}),
	};
}
