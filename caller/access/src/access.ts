import type {Pool, RequestClass} from '@valvesaddle/types';

/**
What a request may use.
*/
export type Access = {
	readonly pool: Pool;
	readonly requestClass: RequestClass;
};
