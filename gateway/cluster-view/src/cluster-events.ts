import type {
	ClusterChanges,
	GatewayConfiguration,
	GatewayNode,
	ServingEndpoint,
} from '@valvesaddle/gateway-types';
import type {BeliefSource} from './belief-source.ts';

/**
What a cluster view tells of.
*/
export type ClusterEvents = {
	configuration: {readonly configuration: GatewayConfiguration};
	endpoint: {readonly endpoint: ServingEndpoint};
	endpointRemoved: {readonly id: string};
	node: {readonly node: GatewayNode};
	nodeRemoved: {readonly id: string};
	/**
	What is believed went on from the revision `after`, by changes that leave no gap and whatever way they came.
	*/
	advanced: {readonly after: number; readonly changes: ClusterChanges; readonly source: BeliefSource};
};
