import type {
	ClusterChanges,
	GatewayConfiguration,
	GatewayNode,
	ServingEndpoint,
} from '@valvesaddle/gateway-types';
import type {StateSource} from './state-source.ts';

/**
Events of a cluster view.
*/
export type ClusterEvents = {
	configuration: {readonly configuration: GatewayConfiguration};
	/**
	A process started again under the id of `before`, so all state about `before` is obsolete. Emitted once, ahead of `endpoint`.
	*/
	incarnation: {readonly endpoint: ServingEndpoint; readonly before: ServingEndpoint};
	endpoint: {readonly endpoint: ServingEndpoint};
	endpointRemoved: {readonly id: string; readonly endpoint: ServingEndpoint};
	node: {readonly node: GatewayNode};
	nodeRemoved: {readonly id: string};
	/**
	An entry changed that is not part of the cluster state.
	*/
	entry: {readonly key: string; readonly isRemoved: boolean};
	/**
	The view applied changes on top of the revision `after`, without a gap.
	*/
	advanced: {readonly after: number; readonly changes: ClusterChanges; readonly source: StateSource};
};
