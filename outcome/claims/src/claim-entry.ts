/**
A claim as it is stored. Names are short because every claim is written out many times.
*/
export type ClaimEntry = {
	/**
	Digest of account and key.
	*/
	readonly k: string;
	/**
	Request id of the attempt.
	*/
	readonly r: string;
	/**
	Node of the attempt.
	*/
	readonly n: string;
	/**
	Fingerprint of the request.
	*/
	readonly f: string;
	/**
	Time of the claim, in milliseconds since the epoch.
	*/
	readonly t: number;
	/**
	1 when the attempt gave the claim back, surely without having run.
	*/
	readonly x?: 1;
};
