import type {DemandRow} from './demand-row.ts';

/**
Demand that a linked node has told.
*/
export type DemandOrigin = {
	readonly isMember: boolean;
	readonly nodes: number;
	/**
	When its last load update came, on the monotonic clock.
	*/
	readonly heardAt: number;
	/**
	By pool: when it saw contention, and rows by key.
	*/
	readonly pools: ReadonlyMap<string, {readonly contendedAt: number; readonly rows: ReadonlyMap<string, DemandRow>}>;
};
