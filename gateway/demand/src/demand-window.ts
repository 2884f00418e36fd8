import type {DemandRow} from './demand-row.ts';

/**
The demand that one node has seen within a sliding window.
*/
export type DemandWindow = {
	readonly record: (pool: string, row: DemandRow) => void;
	readonly read: (pool: string) => readonly DemandRow[];
};
