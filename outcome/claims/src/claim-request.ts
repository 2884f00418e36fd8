/**
Asks to be the one attempt that runs a non-repeatable request.
*/
export type ClaimRequest = {
	readonly account: string;
	/**
	Idempotency key that the caller gave.
	*/
	readonly key: string;
	/**
	Digest of the request, to tell a repetition from a key used twice.
	*/
	readonly fingerprint: string;
	/**
	Unique id of this attempt; asking again with the same id gives the same answer.
	*/
	readonly requestId: string;
	/**
	Node that holds the attempt.
	*/
	readonly node: string;
};
