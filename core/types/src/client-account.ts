/**
A client account: who calls, proved by an API key.
*/
export type ClientAccount = {
	readonly name: string;
	/**
	SHA-256 of each API key, hexadecimal.
	*/
	readonly keyHashes: readonly string[];
	/**
	Share among the accounts of one class.
	*/
	readonly weight: number;
	/**
	Most requests open at once on one node; 0 for no limit.
	*/
	readonly maximumOpen: number;
};
