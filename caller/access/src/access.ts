import type {Pool, RequestClass} from '@valvesaddle/types';

/**
The pool and request class that a request may use.
*/
export type Access = {
	readonly pool: Pool;
	readonly requestClass: RequestClass;
};
