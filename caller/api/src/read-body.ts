import type {IncomingMessage} from 'node:http';
import {createChunkCollector} from '@valvesaddle/buffers';
import {ValvesaddleError} from '@valvesaddle/error';

/**
 Reads the body of a request. The rest of a body that is too large is discarded as it comes: a connection that is closed
 while the caller still writes is reset, and the caller loses the refusal.

 @throws `ERR_VALVESADDLE_BODY_TOO_LARGE` past `limitBytes`, `ERR_VALVESADDLE_MALFORMED_BODY` when the connection breaks.
 @example
 const text = await readBody(request, 1_000_000);
 */
export async function readBody(request: IncomingMessage, limitBytes: number): Promise<string> {
	const body = createChunkCollector();
	try {
		for await (const chunk of request.iterator({destroyOnReturn: false})) {
			body.push(chunk as Uint8Array);
			if (body.countBytes() > limitBytes) {
				break;
			}
		}
	} catch (error) {
		throw new ValvesaddleError('ERR_VALVESADDLE_MALFORMED_BODY', 'the body broke off', {cause: error});
	}

	if (body.countBytes() > limitBytes) {
		request.resume();
		throw new ValvesaddleError('ERR_VALVESADDLE_BODY_TOO_LARGE', `the body is larger than ${limitBytes} bytes`);
	}

	return new TextDecoder('utf-8', {ignoreBOM: true}).decode(body.take());
}
