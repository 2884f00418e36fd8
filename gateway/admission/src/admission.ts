/**
What to do with a request: send it, send it with a lower rank than requests that can be in time, let it wait at the node until an
endpoint has room, or refuse it with the time after which to retry, in milliseconds.
*/
export type Admission =
	| {readonly kind: 'send'}
	| {readonly kind: 'send-late'}
	| {readonly kind: 'wait'}
	| {readonly kind: 'refuse'; readonly retryAfterMs: number};
