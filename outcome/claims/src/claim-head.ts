import type {ClaimEntry} from './claim-entry.ts';

/**
Newest segment of a shard, as stored under the head key.
*/
export type ClaimHead = {
	readonly number: number;
	readonly entries: readonly ClaimEntry[];
	/**
	Entries of the preceding segment until it is archived; fixed by the write that started this segment.
	*/
	readonly previous?: readonly ClaimEntry[] | undefined;
};
