import type {KvStore} from '@valvesaddle/kv';
import type {Logger} from '@valvesaddle/logger';
import type {Metrics} from '@valvesaddle/metrics';

/**
Options of `createClaimShard`.
*/
export type ClaimShardOptions = {
	readonly shard: number;
	readonly kv: KvStore;
	/**
	Time for which a claim is in force, in milliseconds.
	*/
	readonly windowMs: number;
	/**
	Minimum time between two writes, in milliseconds; claims that arrive in between share the next write.
	*/
	readonly writeIntervalMs: number;
	readonly metrics: Metrics;
	readonly logger: Logger;
};
