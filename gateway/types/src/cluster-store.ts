import type {ResultAsync} from 'neverthrow';
import type {ValvesaddleError} from '@valvesaddle/error';
import type {ClusterChanges} from './cluster-changes.ts';
import type {GatewayNode} from './gateway-node.ts';

/**
 Port of the store that holds configuration, endpoints and nodes. Errors: `ERR_VALVESADDLE_KV_UNAVAILABLE` when the
 store refused or could not be reached, `ERR_VALVESADDLE_KV_HISTORY_LOST` when a watch must begin anew with `list`.
 */
export type ClusterStore = {
	/**
	Everything that the store holds now, linearizable.
	*/
	readonly list: () => ResultAsync<ClusterChanges, ValvesaddleError>;
	/**
	Waits for changes after a revision, for at most `waitMs` milliseconds; ends with an error when `signal` is aborted.
	*/
	readonly watch: (after: number, waitMs: number, signal?: AbortSignal) => ResultAsync<ClusterChanges, ValvesaddleError>;
	/**
	Registers a node under a lease of `leaseMs` milliseconds; resolves to the lease.
	*/
	readonly register: (node: GatewayNode, leaseMs: number) => ResultAsync<string, ValvesaddleError>;
	/**
	Renews a lease; `false` when it has ended.
	*/
	readonly renew: (lease: string) => ResultAsync<boolean, ValvesaddleError>;
	/**
	Ends a lease and removes the entry of its node.
	*/
	readonly release: (lease: string) => ResultAsync<void, ValvesaddleError>;
	readonly close: () => Promise<void>;
};
