import type {Endpoint} from '@valvesaddle/types';
import type {EndpointView, MemoryClaim} from '@valvesaddle/policy';
import type {LoadReport} from './load-report.ts';
import type {PoolSums} from './pool-sums.ts';
import type {SlotIndex} from './slot-index.ts';

/**
Endpoints of a pool and their state at the dispatcher.
*/
export type EndpointTable = {
	readonly configure: (endpoints: readonly Endpoint[], leaving: ReadonlySet<string>) => void;
	/**
	Adds (`by` 1) or removes (`by` -1) a request in flight.
	*/
	readonly updateInFlight: (endpointId: string, by: 1 | -1, isUrgent: boolean) => void;
	/**
	Sets what a grant holds of an endpoint's memory, or removes it; nothing if the endpoint does not state its memory.
	*/
	readonly setClaim: (endpointId: string, grantId: string, claim: MemoryClaim | undefined) => void;
	/**
	Updates the average times and adjusts the limit to them.
	*/
	readonly observeTimes: (endpointId: string, firstTokenMs: number | undefined, interTokenMs: number | undefined) => void;
	readonly observeFailure: (endpointId: string) => void;
	/**
	Starts a cooldown that an endpoint requested; it gets no grants until the end.
	*/
	readonly startCooldown: (endpointId: string, milliseconds: number) => void;
	/**
	Milliseconds until the first cooldown ends; `undefined` if no endpoint is cooling.
	*/
	readonly getCooldownMs: () => number | undefined;
	readonly observeSuccess: (endpointId: string) => void;
	readonly observeLoad: (endpointId: string, report: LoadReport) => void;
	/**
	Ejects outliers, starts probing after ejections, ends cooldowns and decays the external load.
	*/
	readonly tick: () => void;
	readonly views: () => readonly EndpointView[];
	readonly configured: () => readonly Endpoint[];
	readonly sums: () => PoolSums;
	/**
	Endpoints that may have a free slot in a grant mode.
	*/
	readonly candidates: SlotIndex['candidates'];
	readonly setHeadroom: SlotIndex['setHeadroom'];
};
