import type {ClusterView, StoreFollower} from '@valvesaddle/cluster-view';
import type {DemandTable} from '@valvesaddle/demand';
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
	Set when pools are shared by demand.
	*/
	readonly demandTable?: DemandTable | undefined;
	/**
	Interval between two load updates.
	*/
	readonly loadUpdateMs: number;
	/**
	Whether requests of callers are open at this node.
	*/
	readonly hasOpenRequests: () => boolean;
	/**
	Set when usage is counted: the length of its windows, and the conversion of a time on the monotonic clock to Unix milliseconds.
	*/
	readonly usage?: {readonly windowMs: number; readonly toUnixTime: (at: number) => number};
	/**
	Interval between two heartbeats.
	*/
	readonly heartbeatMs: number;
	/**
	Largest fleet in which every node is linked to every other.
	*/
	readonly meshNodes: number;
	/**
	Time after which an unreachable relay is tried again.
	*/
	readonly suspectMs: number;
	readonly logger: Logger;
	readonly metrics: Metrics;
};
