import type {EndpointState} from '@valvesaddle/policy';

/**
Events of a pool dispatcher.
*/
export type PoolEvents = {
	readonly endpointState: {
		readonly endpoint: string;
		readonly from: EndpointState;
		readonly to: EndpointState;
	};
};
