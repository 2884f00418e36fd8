import type {ClaimEntry} from './claim-entry.ts';

/**
The claims of one shard, in memory and in the key-value service. Every method throws `ValvesaddleError`.
*/
export type ClaimJournal = {
	/**
	Brings the memory up to date unless it was a moment ago.
	*/
	readonly update: () => Promise<void>;
	/**
	The claim in force on a digest, as far as the memory knows.
	*/
	readonly find: (digest: string) => ClaimEntry | undefined;
	/**
	 Appends entries if this writer knows the newest head. Returns false when it did not, or when the reply was lost;
	 then update and decide anew.
	 */
	readonly append: (entries: readonly ClaimEntry[]) => Promise<boolean>;
	readonly sweep: () => void;
	readonly size: () => number;
};
