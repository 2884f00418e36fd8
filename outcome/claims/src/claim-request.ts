/**
Requests the claim that lets one attempt run a non-repeatable request.
*/
export type ClaimRequest = {
	readonly account: string;
	/**
	Idempotency key sent by the caller.
	*/
	readonly key: string;
	/**
	Digest of the request; differs when a key is reused for another request.
	*/
	readonly fingerprint: string;
	/**
	Unique ID of this attempt; repeating a request with the same ID is idempotent.
	*/
	readonly requestId: string;
	/**
	Node that runs the attempt.
	*/
	readonly node: string;
};
