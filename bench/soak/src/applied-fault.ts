import type {FaultKind} from './fault-kind.ts';

/**
A fault of a run. Times are in milliseconds since its start.
*/
export type AppliedFault = {
	readonly kind: FaultKind;
	readonly at: number;
	readonly until: number;
	/**
	Which node or endpoint, by its number.
	*/
	readonly target: number;
};
