import type {ServerResponse} from 'node:http';
import type {ValvesaddleError} from '@valvesaddle/error';

const msPerSecond = 1000;

/**
 Answers with an error: its status, when to come back, and a body that says what is known about the run.

 @example
 sendRefusal(response, new ValvesaddleError('ERR_VALVESADDLE_NOT_READY', 'no configuration yet'), false);
 */
export function sendRefusal(response: ServerResponse, error: ValvesaddleError, isLast: boolean): void {
	if (response.headersSent || response.destroyed) {
		response.destroy();
		return;
	}

	const {status, ran, hint} = error.traits;
	const body = JSON.stringify({error: {
		code: error.code, message: error.message, hint, ran,
	}});
	const headers = ['content-type', 'application/json', 'content-length', String(Buffer.byteLength(body))];
	if (error.retryAfterMs !== undefined) {
		headers.push('retry-after', String(error.retryAfterMs / msPerSecond));
	}

	if (isLast) {
		headers.push('connection', 'close');
	}

	response.writeHead(status, headers);
	response.end(body);
}
