import type {ClaimEntry} from './claim-entry.ts';

/**
Newest claim entry of each digest of a shard.
*/
export type ClaimTable = {
	readonly apply: (entries: readonly ClaimEntry[]) => void;
	/**
	The claim in force; `undefined` when there is none, it was released or it has expired.
	*/
	readonly find: (digest: string) => ClaimEntry | undefined;
	/**
	Removes expired claims.
	*/
	readonly sweep: () => void;
	readonly clear: () => void;
	readonly size: () => number;
};
