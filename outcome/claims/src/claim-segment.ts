import type {ClaimEntry} from './claim-entry.ts';

/**
A run of claims in the order in which they were made.
*/
export type ClaimSegment = {
	readonly number: number;
	readonly entries: readonly ClaimEntry[];
};
