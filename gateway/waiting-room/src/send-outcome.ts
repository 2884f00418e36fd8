/**
What became of a request that waits when it was its turn: it was sent to an incarnation, it has ended, or there is no room for it yet.
*/
export type SendOutcome =
	| {readonly kind: 'sent'; readonly incarnation: string}
	| {readonly kind: 'ended'}
	| {readonly kind: 'kept'};
