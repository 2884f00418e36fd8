import type {DutyStore} from '@valvesaddle/duty-types';
import type {Logger} from '@valvesaddle/logger';
import type {Metrics} from '@valvesaddle/metrics';

/**
Options of `createDutyLease`. All times are in milliseconds.
*/
export type DutyLeaseOptions = {
	readonly store: DutyStore;
	/**
	Key of the entry that names the holder.
	*/
	readonly key: string;
	/**
	Unique name of this process, which is never reused.
	*/
	readonly holder: string;
	readonly leaseMs: number;
	/**
	Delay before a node that lost the duty tries to acquire it again.
	*/
	readonly reacquireDelayMs: number;
	readonly logger: Logger;
	readonly metrics: Metrics;
};
