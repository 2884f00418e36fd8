import type {ClaimEntry} from './claim-entry.ts';

/**
The newest segment of a shard, as stored under its head.
*/
export type ClaimHead = {
	readonly number: number;
	readonly entries: readonly ClaimEntry[];
	/**
	The segment before, until it is archived; fixed by the write that began this segment.
	*/
	readonly previous?: readonly ClaimEntry[] | undefined;
};
