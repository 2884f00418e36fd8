import type {KvStore} from '@valvesaddle/kv';
import type {Logger} from '@valvesaddle/logger';
import type {Membership} from '@valvesaddle/membership';
import type {Metrics} from '@valvesaddle/metrics';
import type {PeerNetwork} from '@valvesaddle/network';

/**
Options of `createClaimClient`.
*/
export type ClaimClientOptions = {
	readonly node: string;
	readonly kv: KvStore;
	readonly network: PeerNetwork;
	readonly membership: Membership;
	/**
	Number of shards; must be the same on every node and never change.
	*/
	readonly shards: number;
	readonly windowMs: number;
	readonly writeIntervalMs: number;
	readonly metrics: Metrics;
	readonly logger: Logger;
};
