import type {ClusterView} from '@valvesaddle/cluster-view';
import type {GatewayNode} from '@valvesaddle/gateway-types';
import type {Metrics} from '@valvesaddle/metrics';

/**
An emulated node.
*/
export type PropagationNode = {
	readonly self: GatewayNode;
	readonly view: ClusterView;
	readonly metrics: Metrics;
	readonly start: () => void;
	readonly close: () => void;
};
