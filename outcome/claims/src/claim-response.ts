/**
Whether the attempt holds the claim, another attempt holds it, or it is free.
*/
export type ClaimResponse =
	| {readonly kind: 'claimed'}
	| {readonly kind: 'held'; readonly requestId: string; readonly node: string; readonly fingerprint: string}
	| {readonly kind: 'free'};
