import type {VmList} from '@valvesaddle/vm-list';
import type {Metrics} from '@valvesaddle/metrics';
import type {Vm} from '@valvesaddle/types';

/**
Options of `createMembership`.
*/
export type MembershipOptions = {
	/**
	This node as the list should show it.
	*/
	readonly self: Vm;
	/**
	`undefined` for a node without a fleet.
	*/
	readonly vmList: VmList | undefined;
	/**
	Pause between reads of the list, in milliseconds.
	*/
	readonly pollMs: number;
	/**
	Time for which a node that could not be reached is not asked again, in milliseconds.
	*/
	readonly suspectMs: number;
	readonly metrics: Metrics;
};
