import type {GatewayConfiguration} from './gateway-configuration.ts';
import type {GatewayNode} from './gateway-node.ts';
import type {ServingEndpoint} from './serving-endpoint.ts';

/**
A change of the store, with its revision.
*/
export type ClusterChange =
	| {readonly kind: 'configuration'; readonly revision: number; readonly configuration: GatewayConfiguration}
	| {readonly kind: 'endpoint'; readonly revision: number; readonly endpoint: ServingEndpoint}
	| {readonly kind: 'endpoint-removed'; readonly revision: number; readonly id: string}
	| {readonly kind: 'node'; readonly revision: number; readonly node: GatewayNode}
	| {readonly kind: 'node-removed'; readonly revision: number; readonly id: string}
	| {
		readonly kind: 'unreadable'; readonly revision: number; readonly key: string; readonly reason: string;
		/**
		Whether it is a configuration; the one in force is then known to be outdated.
		*/
		readonly isConfiguration: boolean;
		/**
		Id of the endpoint that the entry belongs to.
		*/
		readonly endpoint?: string;
	}
	/**
	A change of an entry that is no part of the cluster state; it still shows that the watch receives events.
	*/
	| {readonly kind: 'other'; readonly revision: number; readonly key?: string; readonly isRemoved?: boolean};
