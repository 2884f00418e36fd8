import type {OpenGrant} from './open-grant.ts';

/**
Tells a new dispatcher of the grants that a node holds.
*/
export type RegisterRequest = {
	/**
	Duty of the dispatcher; see `DutyIndex`.
	*/
	readonly duty: string;
	readonly node: string;
	readonly grants: readonly OpenGrant[];
};
