import type {ClaimHead} from './claim-head.ts';

/**
A head as read, with the index that the next write must name.
*/
export type StoredHead = {
	readonly head: ClaimHead;
	/**
	0 when there is no head yet.
	*/
	readonly modifyIndex: number;
};
