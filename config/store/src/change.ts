import type {Configuration} from '@valvesaddle/types';

/**
A change that an operator wants accepted.
*/
export type Change = {
	/**
	Unique id; applying it again never changes anything twice.
	*/
	readonly changeId: string;
	/**
	Revision that the change was made against.
	*/
	readonly expectedRevision: number;
	readonly configuration: Configuration;
	readonly author: string;
};
