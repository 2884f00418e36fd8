import type {ClusterView} from '@valvesaddle/cluster-view';
import type {GatewayNode} from '@valvesaddle/gateway-types';
import type {Metrics} from '@valvesaddle/metrics';

/**
An emulated node that takes part in the propagation of the cluster state.
*/
export type PropagationNode = {
	readonly self: GatewayNode;
	readonly view: ClusterView;
	readonly metrics: Metrics;
	readonly start: () => void;
	readonly close: () => void;
};
