import type {VmList} from '@valvesaddle/vm-list';
import type {Metrics} from '@valvesaddle/metrics';
import type {Vm} from '@valvesaddle/types';

/**
Options of `createMembership`.
*/
export type MembershipOptions = {
	/**
	This node, which is always a member, whatever the list contains.
	*/
	readonly self: Vm;
	/**
	`undefined` for a node that runs without a fleet.
	*/
	readonly vmList: VmList | undefined;
	/**
	Interval between reads of the list, in milliseconds.
	*/
	readonly pollMs: number;
	/**
	Time for which an unreachable node is not listed as a router, in milliseconds.
	*/
	readonly suspectMs: number;
	readonly metrics: Metrics;
};
