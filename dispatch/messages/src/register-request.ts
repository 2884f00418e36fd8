import type {OpenGrant} from './open-grant.ts';

/**
Tells a new dispatcher of the grants that a node holds.
*/
export type RegisterRequest = {
	readonly pool: string;
	readonly node: string;
	readonly grants: readonly OpenGrant[];
};
