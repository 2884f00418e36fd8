import type {Configuration} from '@valvesaddle/types';

/**
A configuration change submitted by an operator.
*/
export type Change = {
	/**
	Unique id; makes repeated calls of `apply` idempotent.
	*/
	readonly changeId: string;
	/**
	Revision that the change is based on.
	*/
	readonly expectedRevision: number;
	readonly configuration: Configuration;
	readonly author: string;
};
