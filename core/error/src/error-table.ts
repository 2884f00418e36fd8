/**
 All error codes with their status, execution status, retryability and hint for callers.
 */
export const errorTable = {
	ERR_VALVESADDLE_UNAUTHENTICATED: {
		status: 401, ran: 'no', retryable: false, hint: 'Send "Authorization: Bearer <API key>" with a key of a client account.',
	},
	ERR_VALVESADDLE_UNKNOWN_MODEL: {
		status: 404, ran: 'no', retryable: false, hint: 'Use a pool or model name that the configuration lists.',
	},
	ERR_VALVESADDLE_UNBOUND_ACCOUNT: {
		status: 403, ran: 'no', retryable: false, hint: 'Ask an operator for a binding of this client account to this pool.',
	},
	ERR_VALVESADDLE_CLASS_NOT_ALLOWED: {
		status: 403, ran: 'no', retryable: false, hint: 'Leave the class header out, or name a class that the binding allows.',
	},
	ERR_VALVESADDLE_MALFORMED_BODY: {
		status: 400, ran: 'no', retryable: false, hint: 'Send a JSON body of the documented form.',
	},
	ERR_VALVESADDLE_BODY_TOO_LARGE: {
		status: 413, ran: 'no', retryable: false, hint: 'Send a smaller body, or raise limits.body_bytes in the settings.',
	},
	ERR_VALVESADDLE_IDEMPOTENCY_KEY_REQUIRED: {
		status: 400, ran: 'no', retryable: false, hint: 'Send an Idempotency-Key header with every non-repeatable request.',
	},
	ERR_VALVESADDLE_IDEMPOTENCY_KEY_REUSED: {
		status: 422, ran: 'no', retryable: false, hint: 'Use a fresh Idempotency-Key for a different request.',
	},
	ERR_VALVESADDLE_UNKNOWN_REQUEST: {
		status: 404, ran: undefined, retryable: false, hint: 'The answer is no longer kept, or it belongs to another client account.',
	},
	ERR_VALVESADDLE_NOT_FOUND: {
		status: 404, ran: 'no', retryable: false, hint: 'See the README for the paths that are served.',
	},
	ERR_VALVESADDLE_NO_ROUTE: {
		status: 404, ran: 'no', retryable: false, hint: 'Use a host and a path that a route of the configuration covers.',
	},
	ERR_VALVESADDLE_MALFORMED_REQUEST: {
		status: 400, ran: 'no', retryable: false, hint: 'Send a request that HTTP/1.1 allows, with a path that begins with a slash.',
	},
	ERR_VALVESADDLE_HEADERS_TOO_LARGE: {
		status: 431, ran: 'no', retryable: false, hint: 'Send smaller headers, or raise the limit in the configuration.',
	},
	ERR_VALVESADDLE_ENDPOINTS_BUSY: {
		status: 503, ran: 'no', retryable: true, hint: 'Every endpoint tried refused before running it; come back after Retry-After.',
	},
	ERR_VALVESADDLE_REQUEST_QUARANTINED: {
		status: 503, ran: 'no', retryable: false, hint: 'Endpoints crashed each time they ran this request; change the request, or ask an operator.',
	},
	ERR_VALVESADDLE_TIMEOUT_UNSENT: {
		status: 503, ran: 'no', retryable: true, hint: 'The time of the route or of the caller was over before the request could be sent.',
	},
	ERR_VALVESADDLE_TIMEOUT: {
		status: 504, ran: 'maybe', retryable: true, hint: 'The time of the route or of the caller was over while an endpoint worked on it.',
	},
	ERR_VALVESADDLE_OVERLOADED: {
		status: 429, ran: 'no', retryable: true, hint: 'The predicted wait is too long for the class; come back after Retry-After.',
	},
	ERR_VALVESADDLE_WAIT_EXPIRED: {
		status: 503, ran: 'no', retryable: true, hint: 'No slot came free within the longest wait of the class; come back after Retry-After.',
	},
	ERR_VALVESADDLE_ACCOUNT_LIMIT: {
		status: 429, ran: 'no', retryable: true, hint: 'The client account has its maximum of requests open; wait for some to end.',
	},
	ERR_VALVESADDLE_BUFFERS_FULL: {
		status: 503, ran: 'no', retryable: true, hint: 'The node has no memory for the body at the moment, or the client account holds its part of it; come back after Retry-After.',
	},
	ERR_VALVESADDLE_NO_ENDPOINT: {
		status: 503, ran: 'no', retryable: true, hint: 'No endpoint of the pool takes work at the moment; come back after Retry-After.',
	},
	ERR_VALVESADDLE_NOT_READY: {
		status: 503, ran: 'no', retryable: true, hint: 'The node has no configuration yet or has lost touch with all others; try another node.',
	},
	ERR_VALVESADDLE_DRAINING: {
		status: 503, ran: 'no', retryable: true, hint: 'The node is leaving; try another node.',
	},
	ERR_VALVESADDLE_CONNECTION_ENDING: {
		status: 503, ran: 'no', retryable: true, hint: 'Bytes before it on its connection could not be read; send it on another connection.',
	},
	ERR_VALVESADDLE_CANCELLED: {
		status: 499, ran: 'maybe', retryable: true, hint: 'The caller went away.',
	},
	ERR_VALVESADDLE_ENDPOINT_NOT_RUN: {
		status: 502, ran: 'no', retryable: true, hint: 'The endpoint could not be reached or refused the request before running it.',
	},
	ERR_VALVESADDLE_ENDPOINT_REJECTED: {
		status: 422, ran: 'no', retryable: false, hint: 'The endpoint found fault with the request; see the message.',
	},
	ERR_VALVESADDLE_ENDPOINT_FAILED: {
		status: 502, ran: 'maybe', retryable: true, hint: 'The endpoint failed after the request was sent; an idempotent request may be sent again.',
	},
	ERR_VALVESADDLE_MAY_HAVE_RUN: {
		status: 409, ran: 'maybe', retryable: false, hint: 'Check the effect at the service before issuing it anew under another key.',
	},
	ERR_VALVESADDLE_CLAIMS_UNAVAILABLE: {
		status: 503, ran: 'no', retryable: true, hint: 'Claims cannot be recorded at the moment; nothing was sent.',
	},
	ERR_VALVESADDLE_KV_UNAVAILABLE: {
		status: 503, ran: undefined, retryable: true, hint: 'The key-value service refused or could not be reached; nothing was changed.',
	},
	ERR_VALVESADDLE_KV_UNKNOWN_OUTCOME: {
		status: 504, ran: undefined, retryable: true, hint: 'The reply of the key-value service was lost; read back before trying again.',
	},
	ERR_VALVESADDLE_KV_HISTORY_LOST: {
		status: 410, ran: undefined, retryable: true, hint: 'List the prefix anew and watch from the revision of the list.',
	},
	ERR_VALVESADDLE_CONFIGURATION_INVALID: {
		status: 400, ran: undefined, retryable: false, hint: 'Mend every fault that the message names; nothing was changed.',
	},
	ERR_VALVESADDLE_CONFIGURATION_CONFLICT: {
		status: 409, ran: undefined, retryable: false, hint: 'Read the newest revision, merge, and apply against that revision.',
	},
	ERR_VALVESADDLE_CONFIGURATION_UNKNOWN: {
		status: 504, ran: undefined, retryable: true, hint: 'Apply again with the same change id: it is never applied twice.',
	},
	ERR_VALVESADDLE_PEER_UNREACHABLE: {
		status: 503, ran: undefined, retryable: true, hint: 'The other node did not answer in time.',
	},
	ERR_VALVESADDLE_MESSAGE_INVALID: {
		status: 400, ran: undefined, retryable: false, hint: 'The message does not have the documented form; compare the versions of both sides.',
	},
	ERR_VALVESADDLE_OPERATOR_UNAUTHENTICATED: {
		status: 401, ran: undefined, retryable: false, hint: 'Send the token of an operator that the settings list.',
	},
	ERR_VALVESADDLE_OPERATOR_FORBIDDEN: {
		status: 403, ran: undefined, retryable: false, hint: 'The role of this operator does not allow the call.',
	},
	ERR_VALVESADDLE_SETTINGS_INVALID: {
		status: 400, ran: undefined, retryable: false, hint: 'Mend every setting that the message names; see docs/operators/settings.md.',
	},
	ERR_VALVESADDLE_INTERNAL: {
		status: 500, ran: 'maybe', retryable: false, hint: 'This is a fault of valvesaddle; please report it with the request id.',
	},
} as const;
