import type {GatewayConfiguration} from './gateway-configuration.ts';
import type {GatewayNode} from './gateway-node.ts';
import type {ServingEndpoint} from './serving-endpoint.ts';

/**
One change that the store reports, at its revision.
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
		Whether it is a configuration, so that what is in force now is known to be an older one.
		*/
		readonly isConfiguration: boolean;
		/**
		Id of the endpoint whose entry it would be.
		*/
		readonly endpoint?: string;
	}
	/**
	A change of an entry that says nothing of the cluster; a watch that brings one has heard the store nevertheless.
	*/
	| {readonly kind: 'other'; readonly revision: number; readonly key?: string; readonly isRemoved?: boolean};
