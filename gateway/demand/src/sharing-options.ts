import type {Logger} from '@valvesaddle/logger';
import type {Metrics} from '@valvesaddle/metrics';
import type {DemandTable} from './demand-table.ts';

/**
Options of `createSharing`.
*/
export type SharingOptions = {
	readonly table: DemandTable;
	/**
	Length of the table's window, in milliseconds.
	*/
	readonly windowMs: number;
	readonly logger: Logger;
	readonly metrics: Metrics;
	/**
	Random numbers from 0 up to 1.
	*/
	readonly drawNumber?: () => number;
};
