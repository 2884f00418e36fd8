/**
What a non-repeatable request is claimed under.
*/
export type JobClaim = {
	readonly key: string;
	readonly fingerprint: string;
};
