import type {
	ClusterChanges,
	GatewayConfiguration,
	GatewayNode,
	ServingEndpoint,
} from '@valvesaddle/gateway-types';
import type {StateSource} from './state-source.ts';

/**
What a cluster view tells of.
*/
export type ClusterEvents = {
	configuration: {readonly configuration: GatewayConfiguration};
	/**
	A process has started again under the id of `before`, told once and before `endpoint`: whatever was kept of `before` is of no use.
	*/
	incarnation: {readonly endpoint: ServingEndpoint; readonly before: ServingEndpoint};
	endpoint: {readonly endpoint: ServingEndpoint};
	endpointRemoved: {readonly id: string; readonly endpoint: ServingEndpoint};
	node: {readonly node: GatewayNode};
	nodeRemoved: {readonly id: string};
	/**
	An entry changed that says nothing of the cluster.
	*/
	entry: {readonly key: string; readonly isRemoved: boolean};
	/**
	What is believed went on from the revision `after`, by changes that leave no gap and whatever way they came.
	*/
	advanced: {readonly after: number; readonly changes: ClusterChanges; readonly source: StateSource};
};
