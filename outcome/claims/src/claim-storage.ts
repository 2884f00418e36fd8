import type {ClaimHead} from './claim-head.ts';
import type {ClaimSegment} from './claim-segment.ts';
import type {StoredHead} from './stored-head.ts';

/**
A shard's segments in the key-value service. Every method throws `ValvesaddleError`.
*/
export type ClaimStorage = {
	readonly readHead: () => Promise<StoredHead>;
	/**
	Replaces the head; tells whether this writer was still the newest.
	*/
	readonly writeHead: (head: ClaimHead, modifyIndex: number) => Promise<boolean>;
	/**
	Archived segments from `newest` down to `oldest` that still matter, oldest first.
	*/
	readonly readArchived: (newest: number, oldest: number) => Promise<readonly ClaimSegment[]>;
	/**
	Stores a full segment under its number; storing it again changes nothing.
	*/
	readonly archive: (segment: ClaimSegment) => Promise<void>;
};
