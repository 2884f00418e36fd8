import type {ClusterStore, GatewayNode} from '@valvesaddle/gateway-types';
import type {Logger} from '@valvesaddle/logger';
import type {Metrics} from '@valvesaddle/metrics';
import type {ClusterView} from './cluster-view.ts';

/**
Options of `createStoreFollower`. All times are in milliseconds.
*/
export type StoreFollowerOptions = {
	readonly store: ClusterStore;
	readonly view: ClusterView;
	readonly self: GatewayNode;
	/**
	How long one watch waits for changes.
	*/
	readonly watchMs: number;
	/**
	Interval between two watches; changes in between arrive in one batch.
	*/
	readonly gatherMs: number;
	/**
	Delay between a list and the first watch, to batch the entries of a fleet that starts at once.
	*/
	readonly settleMs: number;
	/**
	Delay before the retry of a failed call; grows with consecutive failures.
	*/
	readonly retryMs: number;
	/**
	Duration of the lease on the node's own entry.
	*/
	readonly leaseMs: number;
	/**
	Interval between two renewals of that lease, which also detect that the store no longer answers.
	*/
	readonly renewMs: number;
	/**
	Grace period after a store outage in which missing entries can register again.
	*/
	readonly removalGraceMs: number;
	/**
	Whether this node has to watch the store itself; in a large fleet, a few nodes watch for all.
	*/
	readonly isNeeded: () => boolean;
	/**
	Whether this node watches for others by the overlay, and not only until a peer confirms the state of the store.
	*/
	readonly isFollower: () => boolean;
	readonly logger: Logger;
	readonly metrics: Metrics;
};
