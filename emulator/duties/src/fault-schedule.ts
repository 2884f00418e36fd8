import type {DutyFault} from './duty-fault.ts';

/**
The faults of a run and their times.
*/
export type FaultSchedule = {
	/**
	Whether a fault of the kind is active now; with `node`, only faults of that node count.
	*/
	readonly isActive: (kind: DutyFault['kind'], node?: number) => boolean;
	/**
	Time at which the last active fault of the kind on the node ends; the current time if there is none.
	*/
	readonly findEnd: (kind: DutyFault['kind'], node: number) => number;
	/**
	Whether a fault affected the node, the store or the platform at the given time or up to `withinMs` before it.
	*/
	readonly wasAffected: (node: number, withinMs: number, at: number) => boolean;
};
