/**
A client account, authenticated by an API key.
*/
export type ClientAccount = {
	readonly name: string;
	/**
	SHA-256 of each API key, hexadecimal.
	*/
	readonly keyHashes: readonly string[];
	/**
	Relative weight among the accounts of one class.
	*/
	readonly weight: number;
	/**
	Maximum number of concurrent requests on one node; 0 for no limit.
	*/
	readonly maximumOpen: number;
};
