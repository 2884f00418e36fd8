import type {ClaimEntry} from './claim-entry.ts';

/**
The claims of a shard by digest, the newest entry of each.
*/
export type ClaimTable = {
	readonly apply: (entries: readonly ClaimEntry[]) => void;
	/**
	The claim in force; `undefined` when there is none, it was given back or it is too old.
	*/
	readonly find: (digest: string) => ClaimEntry | undefined;
	/**
	Drops what is too old.
	*/
	readonly sweep: () => void;
	readonly clear: () => void;
	readonly size: () => number;
};
