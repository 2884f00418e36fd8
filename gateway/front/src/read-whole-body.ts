import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {ValvesaddleError} from '@valvesaddle/error';

/**
 Reads the body of a request.

 @throws `ERR_VALVESADDLE_BODY_TOO_LARGE` above the limit, `ERR_VALVESADDLE_CANCELLED` when the caller disconnects.
 @example
 const body = await readWholeBody(request, 4_194_304);
 */
export async function readWholeBody(request: IncomingMessage, limitBytes: number): Promise<Uint8Array | undefined> {
	const announced = Number(request.headers['content-length'] ?? 0);
	if (announced > limitBytes) {
		throw new ValvesaddleError('ERR_VALVESADDLE_BODY_TOO_LARGE', `${announced} bytes announced, ${limitBytes} allowed`);
	}

	if (announced === 0 && request.headers['transfer-encoding'] === undefined) {
		return undefined;
	}

	const {promise, resolve, reject} = Promise.withResolvers<Uint8Array>();
	const chunks: Uint8Array[] = [];
	let bytes = 0;
	request.on('data', (chunk: Uint8Array) => {
		bytes += chunk.length;
		if (bytes > limitBytes) {
			reject(new ValvesaddleError('ERR_VALVESADDLE_BODY_TOO_LARGE', `over ${limitBytes} bytes`));
			return;
		}

		chunks.push(chunk);
	});
	request.once('end', () => {
		resolve(Buffer.concat(chunks));
	});
	request.once('close', () => {
		// This runs for every request, and creating an error is expensive.
		if (request.complete) {
			return;
		}

		reject(new ValvesaddleError('ERR_VALVESADDLE_CANCELLED', 'the caller went away within the body'));
	});
	return promise;
}
