import type {ConfigStore} from '@valvesaddle/config-store';
import type {Logger} from '@valvesaddle/logger';
import type {Metrics} from '@valvesaddle/metrics';

/**
Options of `createConfigFollower`.
*/
export type ConfigFollowerOptions = {
	readonly store: ConfigStore;
	/**
	Maximum duration of one watch, in milliseconds.
	*/
	readonly watchMs: number;
	/**
	Delay before the next attempt when the key-value service fails, in milliseconds.
	*/
	readonly retryMs: number;
	/**
	Requests the record of some peers while the key-value service does not answer. Each promise settles on its own, or never.
	*/
	readonly readPeerRecords: () => ReadonlyArray<Promise<unknown>>;
	readonly metrics: Metrics;
	readonly logger: Logger;
};
