import type {DutyFault} from './duty-fault.ts';

/**
Which faults act.
*/
export type FaultSchedule = {
	/**
	Whether a fault of the kind acts now, on that node if it concerns one.
	*/
	readonly isActive: (kind: DutyFault['kind'], node?: number) => boolean;
	/**
	Time at which the last fault of a kind on a node ends, if one acts now; now otherwise.
	*/
	readonly findEnd: (kind: DutyFault['kind'], node: number) => number;
	/**
	Whether any fault has touched a node, the store or the platform within the last milliseconds.
	*/
	readonly wasAffected: (node: number, withinMs: number, at: number) => boolean;
};
