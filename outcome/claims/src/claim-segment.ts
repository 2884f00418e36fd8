import type {ClaimEntry} from './claim-entry.ts';

/**
Consecutive claims of a shard, oldest first.
*/
export type ClaimSegment = {
	readonly number: number;
	readonly entries: readonly ClaimEntry[];
};
