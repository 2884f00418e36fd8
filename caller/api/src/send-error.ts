import type {ServerResponse} from 'node:http';
import {errorTable} from '@valvesaddle/error';
import type {ErrorEnd} from './error-end.ts';
import {headerNames} from './header-names.ts';
import {toErrorBody} from './to-error-body.ts';

const millisecondsPerSecond = 1000;

/**
 Sends an error reply, with `Retry-After` when the request can be retried. If the headers of an answer have been sent, the
 connection is broken instead, so that the answer does not look complete.

 @example
 sendError(response, end, requestId);
 */
export function sendError(response: ServerResponse, end: ErrorEnd, requestId: string): void {
	if (response.headersSent || response.destroyed) {
		response.destroy();
		return;
	}

	const {status, retryable} = errorTable[end.code];
	response.statusCode = status;
	response.setHeader('content-type', 'application/json');
	response.setHeader(headerNames.requestId, requestId);
	if (retryable || end.retryAfterMs !== undefined) {
		const seconds = Math.ceil((end.retryAfterMs ?? millisecondsPerSecond) / millisecondsPerSecond);
		response.setHeader('retry-after', Math.max(1, seconds));
	}

	response.end(JSON.stringify(toErrorBody(end, requestId)));
}
