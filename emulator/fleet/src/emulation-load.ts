import type {EngineProfile} from '@valvesaddle/emulator-engine';
import type {CallerClass} from './caller-class.ts';
import type {EmulationFault} from './emulation-fault.ts';
import type {RetryBudgetSettings} from './retry-budget-settings.ts';

/**
An emulated deployment and the requests that it receives. Times are in milliseconds.
*/
export type EmulationLoad = {
	readonly name: string;
	readonly lengthMs: number;
	readonly nodes: number;
	/**
	Interval between the load updates of a node.
	*/
	readonly newsMs: number;
	/**
	Relays send to their members once in this many intervals, and to other relays in each interval.
	*/
	readonly intervalsPerMemberUpdate: number;
	/**
	One-way latency between nodes, and between nodes and engines.
	*/
	readonly linkMs: number;
	/**
	Factor on all times, for each engine.
	*/
	readonly slowness: readonly number[];
	readonly engine: EngineProfile;
	readonly classes: readonly CallerClass[];
	/**
	Cooldown that a full engine requests when it refuses; none if omitted.
	*/
	readonly fullRetryAfterMs?: number;
	readonly faults: readonly EmulationFault[];
	/**
	Size of the retry budget; the defaults of the gateway's settings if omitted.
	*/
	readonly retryBudget?: RetryBudgetSettings;
};
