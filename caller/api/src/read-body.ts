import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {ValvesaddleError} from '@valvesaddle/error';

/**
 Reads the body of a request. The rest of a body that is too large is discarded as it comes: a connection that is closed
 while the caller still writes is reset, and the caller loses the refusal.

 @throws `ERR_VALVESADDLE_BODY_TOO_LARGE` past `limitBytes`, `ERR_VALVESADDLE_MALFORMED_BODY` when the connection breaks.
 @example
 const text = await readBody(request, 1_000_000);
 */
export async function readBody(request: IncomingMessage, limitBytes: number): Promise<string> {
	const chunks: Uint8Array[] = [];
	let size = 0;
	try {
		for await (const chunk of request.iterator({destroyOnReturn: false})) {
			const bytes = chunk as Uint8Array;
			size += bytes.length;
			if (size > limitBytes) {
				break;
			}

			chunks.push(bytes);
		}
	} catch (error) {
		throw new ValvesaddleError('ERR_VALVESADDLE_MALFORMED_BODY', 'the body broke off', {cause: error});
	}

	if (size > limitBytes) {
		request.resume();
		throw new ValvesaddleError('ERR_VALVESADDLE_BODY_TOO_LARGE', `the body is larger than ${limitBytes} bytes`);
	}

	return Buffer.concat(chunks).toString();
}
