/**
A claim as it is stored. Keys are short because each claim is written many times.
*/
export type ClaimEntry = {
	/**
	Digest of account and key.
	*/
	readonly k: string;
	/**
	Request ID of the attempt.
	*/
	readonly r: string;
	/**
	Node that runs the attempt.
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
	1 when the attempt released the claim because it certainly did not run.
	*/
	readonly x?: 1;
};
