/**
Names of the request and response headers.
*/
export const headerNames = {
	requestId: 'x-valvesaddle-request-id',
	className: 'x-valvesaddle-class',
	session: 'x-valvesaddle-session',
	idempotencyKey: 'idempotency-key',
	lastEventId: 'last-event-id',
} as const;
