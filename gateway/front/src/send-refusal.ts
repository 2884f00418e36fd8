import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {ValvesaddleError} from '@valvesaddle/error';
import {endIncomplete} from './end-incomplete.ts';

const msPerSecond = 1000;

/**
 Answers with an error: its status, Retry-After, and a body that states whether the request may have run. An answer that has begun is
 ended incomplete instead, and one that is complete is left alone.

 @example
 sendRefusal(response, new ValvesaddleError('ERR_VALVESADDLE_NOT_READY', 'no configuration yet'), false);
 */
export function sendRefusal(response: ServerResponse, error: ValvesaddleError, isLast: boolean): void {
	if (response.writableEnded || response.destroyed) {
		return;
	}

	if (response.headersSent) {
		endIncomplete(response);
		return;
	}

	const {status, ran, hint} = error.traits;
	const body = JSON.stringify({
		error: {
			code: error.code, message: error.message, hint, ran,
		},
	});
	response.writeHead(status, [
		'content-type',
		'application/json',
		'content-length',
		String(Buffer.byteLength(body)),
		...(error.retryAfterMs === undefined ? [] : ['retry-after', String(error.retryAfterMs / msPerSecond)]),
		...(isLast ? ['connection', 'close'] : []),
	]);
	response.end(body);
}
