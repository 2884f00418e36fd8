import type {GatewayConfiguration, GatewayNode, ServingEndpoint} from '@valvesaddle/gateway-types';

/**
What a cluster view tells of.
*/
export type ClusterEvents = {
	configuration: {readonly configuration: GatewayConfiguration};
	endpoint: {readonly endpoint: ServingEndpoint};
	endpointRemoved: {readonly id: string};
	node: {readonly node: GatewayNode};
	nodeRemoved: {readonly id: string};
};
