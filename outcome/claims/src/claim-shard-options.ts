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
	Time for which a claim holds, in milliseconds.
	*/
	readonly windowMs: number;
	/**
	Shortest pause between two writes; claims that come meanwhile share the next write.
	*/
	readonly writeIntervalMs: number;
	readonly metrics: Metrics;
	readonly logger: Logger;
};
