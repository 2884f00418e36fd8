/**
Whether the attempt may run, or which other one holds the claim.
*/
export type ClaimResponse =
	| {readonly kind: 'claimed'}
	| {readonly kind: 'held'; readonly requestId: string; readonly node: string; readonly fingerprint: string}
	| {readonly kind: 'free'};
