import type {IncomingMessage} from 'node:http';
import type {ChunkSource} from '@valvesaddle/pacing';

/**
 Creates the source of a request's body. It stops at the connection, so that no more of the body is parsed; chunks that were read
 already still come.

 @param request - The HTTP server's request.
 @param onSlowed - Called once, when the body is paused for the first time.
 @example
 const meter = pacer.open(createBodySource(request, () => {}));
 */
export function createBodySource(request: IncomingMessage, onSlowed: () => void): ChunkSource {
	let isInstalled = false;
	let isPaused = false;

	/**
	The request asks its connection for more as long as its chunks are taken. Requests that are never paused keep the method of their
	class, which is faster.
	*/
	function setMethod(): void {
		const readMore = request._read.bind(request);
		isInstalled = true;
		request._read = bytes => {
			if (!isPaused) {
				readMore(bytes);
			}
		};
	}

	return {
		isCoarse: true,
		pause() {
			isPaused = true;
			if (!isInstalled) {
				setMethod();
			}

			request.socket.pause();
		},
		resume() {
			isPaused = false;
			request.socket.resume();
		},
		onSlowed,
	};
}
