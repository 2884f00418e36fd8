import type {Dispatcher} from 'undici';

const maximumBytes = 64 * 1024;
const maximumMs = 2000;

/**
 Reads the rest of a response of which nothing more is needed, or only the beginning. One that does not end within the bounds of
 bytes and time is closed.

 @param response - Response of the engine.
 @param body - Iterator of its body, if a part was read already.
 @returns The text that was read.
 @example
 const reason = await readBounded(response);
 */
export async function readBounded(response: Dispatcher.ResponseData, body: AsyncIterator<Uint8Array> = response.body[Symbol.asyncIterator]()): Promise<string> {
	const decoder = new TextDecoder();
	let text = '';
	let bytes = 0;
	const timer = setTimeout(() => {
		response.body.destroy();
	}, maximumMs);
	try {
		let read = await body.next();
		while (read.done !== true && bytes <= maximumBytes) {
			bytes += read.value.length;
			text += decoder.decode(read.value, {stream: true});
			// eslint-disable-next-line no-await-in-loop -- chunks are read in order
			read = await body.next();
		}

		if (read.done !== true) {
			response.body.destroy();
		}
	} catch {
		// The connection broke or was closed; what was read says all that is known.
	} finally {
		clearTimeout(timer);
	}

	return text;
}
