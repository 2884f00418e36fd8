import type {ClusterView, StoreFollower} from '@valvesaddle/cluster-view';
import type {GatewayNode} from '@valvesaddle/gateway-types';
import type {Logger} from '@valvesaddle/logger';
import type {Metrics} from '@valvesaddle/metrics';
import type {PeerNetwork} from '@valvesaddle/network';
import type {Selector} from '@valvesaddle/selection';

/**
Options of `createPeerSync`. All times are in milliseconds.
*/
export type PeerSyncOptions = {
	readonly self: GatewayNode;
	readonly network: PeerNetwork;
	readonly view: ClusterView;
	readonly follower: Pick<StoreFollower, 'isSteady' | 'hasSettled'>;
	readonly selector: Selector;
	/**
	Between two messages on the node's work.
	*/
	readonly loadUpdateMs: number;
	/**
	Whether requests of callers are open at this node.
	*/
	readonly hasOpenRequests: () => boolean;
	/**
	Set when usage is counted: the length of its windows, and the time of day that belongs to a time on the steady clock, in Unix
	milliseconds.
	*/
	readonly usage?: {readonly windowMs: number; readonly toUnixTime: (at: number) => number};
	/**
	Between two messages on the revision that the node knows.
	*/
	readonly heartbeatMs: number;
	/**
	Largest fleet in which every node is linked with every other.
	*/
	readonly meshNodes: number;
	/**
	Time after which a relay that could not be reached is tried again.
	*/
	readonly suspectMs: number;
	readonly logger: Logger;
	readonly metrics: Metrics;
};
