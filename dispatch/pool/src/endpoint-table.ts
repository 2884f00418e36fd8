import type {Endpoint} from '@valvesaddle/types';
import type {EndpointView} from '@valvesaddle/policy';
import type {LoadReport} from './load-report.ts';
import type {PoolSums} from './pool-sums.ts';
import type {SlotIndex} from './slot-index.ts';

/**
The endpoints of a pool with what the dispatcher learned of them.
*/
export type EndpointTable = {
	readonly configure: (endpoints: readonly Endpoint[], leaving: ReadonlySet<string>) => void;
	/**
	Counts one grant more (`by` 1) or fewer (`by` -1).
	*/
	readonly updateInFlight: (endpointId: string, by: 1 | -1, isUrgent: boolean) => void;
	/**
	Takes over observed times and learns the limit from them.
	*/
	readonly observeTimes: (endpointId: string, firstTokenMs: number | undefined, interTokenMs: number | undefined) => void;
	readonly observeFailure: (endpointId: string) => void;
	/**
	Takes no grants for an endpoint that asked for no requests for so many milliseconds.
	*/
	readonly startCooldown: (endpointId: string, milliseconds: number) => void;
	/**
	Milliseconds until the first endpoint that asked for no requests takes them again; `undefined` when none has asked.
	*/
	readonly getCooldownMs: () => number | undefined;
	readonly observeSuccess: (endpointId: string) => void;
	readonly observeLoad: (endpointId: string, report: LoadReport) => void;
	/**
	Ejects stragglers, puts those on probation whose time is over, ends cooldowns, lets external load fade.
	*/
	readonly tick: () => void;
	readonly views: () => readonly EndpointView[];
	readonly configured: () => readonly Endpoint[];
	readonly sums: () => PoolSums;
	/**
	Endpoints that may have a slot under a rule.
	*/
	readonly candidates: SlotIndex['candidates'];
	readonly setHeadroom: SlotIndex['setHeadroom'];
};
