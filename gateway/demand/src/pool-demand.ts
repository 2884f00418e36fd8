import type {DemandRow} from './demand-row.ts';

/**
Demand for a pool, as nodes tell it to each other.
*/
export type PoolDemand = {
	readonly pool: string;
	/**
	Milliseconds since one of the nodes in it saw contention; `undefined` if none did.
	*/
	readonly contendedAgoMs: number | undefined;
	readonly rows: readonly DemandRow[];
};
