/**
Idempotency key and fingerprint under which a non-repeatable request is claimed.
*/
export type JobClaim = {
	readonly key: string;
	readonly fingerprint: string;
};
