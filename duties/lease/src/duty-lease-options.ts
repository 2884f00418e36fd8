import type {DutyStore} from '@valvesaddle/duty-types';
import type {Logger} from '@valvesaddle/logger';
import type {Metrics} from '@valvesaddle/metrics';

/**
Options of `createDutyLease`. All times are in milliseconds.
*/
export type DutyLeaseOptions = {
	readonly store: DutyStore;
	/**
	Name of the entry that names the holder.
	*/
	readonly key: string;
	/**
	Name of this process, which no other process ever has.
	*/
	readonly holder: string;
	readonly leaseMs: number;
	/**
	How long a node that held the duty leaves it to others.
	*/
	readonly reacquireDelayMs: number;
	readonly logger: Logger;
	readonly metrics: Metrics;
};
