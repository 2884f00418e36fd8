/**
What to do with a request: send it now, send it behind those that can be in time, or refuse it with a time to come back, in
milliseconds.
*/
export type Admission =
	| {readonly kind: 'send'}
	| {readonly kind: 'send-late'}
	| {readonly kind: 'refuse'; readonly retryAfterMs: number};
