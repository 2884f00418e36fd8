import type {OpenGrant} from './open-grant.ts';

/**
Registers the open grants of a node with a new dispatcher.
*/
export type RegisterRequest = {
	/**
	Dispatcher shard; see `DutyIndex`.
	*/
	readonly duty: string;
	readonly node: string;
	readonly grants: readonly OpenGrant[];
};
