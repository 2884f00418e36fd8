import type {ClaimEntry} from './claim-entry.ts';

/**
Claims of one shard, in memory and in the key-value service. Every method throws `ValvesaddleError`.
*/
export type ClaimJournal = {
	/**
	Reads the head again unless it was read recently.
	*/
	readonly update: () => Promise<void>;
	/**
	The claim in force for a digest, according to the last read.
	*/
	readonly find: (digest: string) => ClaimEntry | undefined;
	/**
	 Appends entries if no other writer has replaced the head since it was read. Returns false when one has, or when the
	 reply was lost: call `update` and decide again.
	 */
	readonly append: (entries: readonly ClaimEntry[]) => Promise<boolean>;
	readonly sweep: () => void;
	readonly size: () => number;
};
