import type {IncomingMessage} from 'node:http';
import {createChunkCollector} from '@valvesaddle/buffers';
import {ValvesaddleError} from '@valvesaddle/error';
import type {ChunkMeter} from '@valvesaddle/pacing';
import type {BodyRoom} from './body-room.ts';

type BodyReading = {
	/**
	Room for the body; nothing of it is read before there is room for what its head announces.
	*/
	readonly room?: BodyRoom | undefined;
	/**
	Opens the meter of a body in chunks; one of a known length comes in as large pieces as it is read in.
	*/
	readonly openMeter?: (() => ChunkMeter | undefined) | undefined;
};

/**
 Reads the body of a request.

 @param request - The HTTP server's request.
 @param limitBytes - Largest body.
 @param reading - What bounds the reading beside the limit.
 @throws `ERR_VALVESADDLE_BODY_TOO_LARGE` above the limit, `ERR_VALVESADDLE_BUFFERS_FULL` without room, `ERR_VALVESADDLE_CANCELLED`
 when the caller disconnects.
 @example
 const body = await readWholeBody(request, 4_194_304);
 */
export async function readWholeBody(request: IncomingMessage, limitBytes: number, reading: BodyReading = {}): Promise<Uint8Array | undefined> {
	const {room, openMeter} = reading;
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
	const meter = announced === 0 ? openMeter?.() : undefined;
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
		meter?.record(chunk.length);
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
		meter?.close();
		resolve(body.take());
	});
	request.once('close', () => {
		meter?.close();
		// This runs for every request, and creating an error is expensive.
		if (request.complete) {
			return;
		}

		reject(new ValvesaddleError('ERR_VALVESADDLE_CANCELLED', 'the caller went away within the body'));
	});
	return promise;
}
