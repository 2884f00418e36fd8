import type {EndpointState} from '@valvesaddle/policy';

/**
Changes of state that a pool dispatcher tells.
*/
export type PoolEvents = {
	readonly endpointState: {
		readonly endpoint: string;
		readonly from: EndpointState;
		readonly to: EndpointState;
	};
};
