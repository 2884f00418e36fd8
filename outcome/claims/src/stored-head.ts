import type {ClaimHead} from './claim-head.ts';

/**
A head as read, with the index that the next compare-and-swap must pass.
*/
export type StoredHead = {
	readonly head: ClaimHead;
	/**
	0 when the head does not exist yet.
	*/
	readonly modifyIndex: number;
};
