import type {IncomingMessage} from 'node:http';
import {createChunkCollector} from '@valvesaddle/buffers';
import {ValvesaddleError} from '@valvesaddle/error';
import type {BodyRoom} from './body-room.ts';

/**
 Reads the body of a request.

 @param request - The HTTP server's request.
 @param limitBytes - Largest body.
 @param room - Room for the body; nothing of it is read before there is room for what its head announces.
 @throws `ERR_VALVESADDLE_BODY_TOO_LARGE` above the limit, `ERR_VALVESADDLE_BUFFERS_FULL` without room, `ERR_VALVESADDLE_CANCELLED`
 when the caller disconnects.
 @example
 const body = await readWholeBody(request, 4_194_304);
 */
export async function readWholeBody(request: IncomingMessage, limitBytes: number, room?: BodyRoom): Promise<Uint8Array | undefined> {
	const announced = Number(request.headers['content-length'] ?? 0);
	if (announced > limitBytes) {
		throw new ValvesaddleError('ERR_VALVESADDLE_BODY_TOO_LARGE', `${announced} bytes announced, ${limitBytes} allowed`);
	}

	if (announced === 0 && request.headers['transfer-encoding'] === undefined) {
		return undefined;
	}

	if (room !== undefined && announced > 0) {
		await room.acquire(announced);
	}

	// It may have gone while it waited for room.
	if (request.destroyed) {
		throw new ValvesaddleError('ERR_VALVESADDLE_CANCELLED', 'the caller went away before its body was read');
	}

	const {promise, resolve, reject} = Promise.withResolvers<Uint8Array>();
	const body = createChunkCollector();
	let isRefused = false;

	function addChunk(chunk: Uint8Array): void {
		body.push(chunk);
		if (body.countBytes() > limitBytes) {
			throw new ValvesaddleError('ERR_VALVESADDLE_BODY_TOO_LARGE', `over ${limitBytes} bytes`);
		}

		if (announced === 0) {
			room?.grow(body.measureHeld());
		}
	}

	request.on('data', (chunk: Uint8Array) => {
		if (isRefused) {
			return;
		}

		try {
			addChunk(chunk);
		} catch (error) {
			isRefused = true;
			body.take();
			reject(error);
		}
	});
	request.once('end', () => {
		resolve(body.take());
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
