import type {EndpointState} from '@valvesaddle/policy';

/**
Options of `createEndpointTable`.
*/
export type EndpointTableOptions = {
	readonly interTokenTargetMs: () => number;
	readonly onState: (endpoint: string, from: EndpointState, to: EndpointState) => void;
};
