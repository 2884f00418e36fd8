import type {ClusterView, StoreFollower} from '@valvesaddle/cluster-view';
import type {Logger} from '@valvesaddle/logger';
import type {Metrics} from '@valvesaddle/metrics';
import type {PeerNetwork} from '@valvesaddle/network';
import type {Selector} from '@valvesaddle/selection';

/**
Options of `createPeerSync`. All times are in milliseconds.
*/
export type PeerSyncOptions = {
	readonly node: string;
	readonly network: PeerNetwork;
	readonly view: ClusterView;
	readonly follower: StoreFollower;
	readonly selector: Selector;
	/**
	Between two messages on the node's work.
	*/
	readonly newsMs: number;
	/**
	Between two messages on the revision that the node knows.
	*/
	readonly heartbeatMs: number;
	readonly logger: Logger;
	readonly metrics: Metrics;
};
