import type {ConfigStore} from '@valvesaddle/config-store';
import type {Logger} from '@valvesaddle/logger';
import type {Metrics} from '@valvesaddle/metrics';

/**
Options of `createConfigFollower`.
*/
export type ConfigFollowerOptions = {
	readonly store: ConfigStore;
	/**
	Longest time of one watch, in milliseconds.
	*/
	readonly watchMs: number;
	/**
	Pause before the next try when the key-value service fails, in milliseconds.
	*/
	readonly retryMs: number;
	/**
	Asks some peers for their record, each with an answer of its own that need not come; used while the key-value service does
	not answer.
	*/
	readonly readPeerRecords: () => ReadonlyArray<Promise<unknown>>;
	readonly metrics: Metrics;
	readonly logger: Logger;
};
