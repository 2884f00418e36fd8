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
	How long one watch waits.
	*/
	readonly watchMs: number;
	/**
	Pause between two watches; changes that come meanwhile arrive together.
	*/
	readonly gatherMs: number;
	/**
	Pause between the list and the first watch, in which the entries of a fleet that starts at once come together.
	*/
	readonly settleMs: number;
	/**
	Pause before a call that failed is tried again.
	*/
	readonly retryMs: number;
	/**
	Term of the lease on the node's own entry.
	*/
	readonly leaseMs: number;
	/**
	Between two renewals of that lease; a silent store is noticed within one and a half of them.
	*/
	readonly renewMs: number;
	/**
	How long after the return of the store a missing endpoint may still come back.
	*/
	readonly removalGraceMs: number;
	/**
	Whether this node has to watch the store itself; in a large fleet a few nodes do so for all.
	*/
	readonly isNeeded: () => boolean;
	/**
	Whether it watches by plan, and not only as long as nobody else tells it that nothing was missed.
	*/
	readonly isFollower: () => boolean;
	readonly logger: Logger;
	readonly metrics: Metrics;
};
