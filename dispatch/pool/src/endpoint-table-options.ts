import type {EndpointState} from '@valvesaddle/policy';

/**
Options of `createEndpointTable`.
*/
export type EndpointTableOptions = {
	readonly interTokenTargetMs: () => number;
	/**
	Called when an endpoint changes its state.
	*/
	readonly onState: (endpoint: string, from: EndpointState, to: EndpointState) => void;
};
