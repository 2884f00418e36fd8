import type {ClaimHead} from './claim-head.ts';
import type {ClaimSegment} from './claim-segment.ts';
import type {StoredHead} from './stored-head.ts';

/**
Segments of a shard in the key-value service. Every method throws `ValvesaddleError`.
*/
export type ClaimStorage = {
	readonly readHead: () => Promise<StoredHead>;
	/**
	Replaces the head; returns false when another writer has replaced it since it was read.
	*/
	readonly writeHead: (head: ClaimHead, modifyIndex: number) => Promise<boolean>;
	/**
	Archived segments from `oldest` to `newest` that hold claims still in force, oldest first.
	*/
	readonly readArchived: (newest: number, oldest: number) => Promise<readonly ClaimSegment[]>;
	/**
	Stores a full segment under its number; idempotent.
	*/
	readonly archive: (segment: ClaimSegment) => Promise<void>;
};
