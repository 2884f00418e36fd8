import type {ResultAsync} from 'neverthrow';
import type {ValvesaddleError} from '@valvesaddle/error';
import type {ClusterChanges} from './cluster-changes.ts';
import type {GatewayNode} from './gateway-node.ts';

/**
 Port of the store that holds configuration, endpoints and nodes. Errors: `ERR_VALVESADDLE_KV_UNAVAILABLE` when the
 store refused the call or was unreachable, `ERR_VALVESADDLE_KV_HISTORY_LOST` when a watch must restart from `list`.
 */
export type ClusterStore = {
	/**
	Reads all entries, linearizable.
	*/
	readonly list: () => ResultAsync<ClusterChanges, ValvesaddleError>;
	/**
	Waits up to `waitMs` milliseconds for changes after a revision; fails when `signal` is aborted.
	*/
	readonly watch: (after: number, waitMs: number, signal?: AbortSignal) => ResultAsync<ClusterChanges, ValvesaddleError>;
	/**
	Registers a node under a lease of `leaseMs` milliseconds; resolves to the lease.
	*/
	readonly register: (node: GatewayNode, leaseMs: number) => ResultAsync<string, ValvesaddleError>;
	/**
	Renews a lease; resolves to `false` when it has expired.
	*/
	readonly renew: (lease: string) => ResultAsync<boolean, ValvesaddleError>;
	/**
	Revokes a lease and removes its node's entry.
	*/
	readonly release: (lease: string) => ResultAsync<void, ValvesaddleError>;
	readonly close: () => Promise<void>;
};
