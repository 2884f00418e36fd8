import {setTimeout as wait} from 'node:timers/promises';
import {formatStreamHead, startFakeEndpoint, type FakeEndpoint} from '@valvesaddle/fake-endpoint';

/**
Events of an answer, and the pause between two, in milliseconds.
*/
const events = 24;
const pauseMs = 30;
const eventBytes = 60;

/**
 Starts a stand-in for an engine that streams an answer of 24 events to each request.

 @example
 const endpoint = await startStreamingEndpoint();
 */
export async function startStreamingEndpoint(): Promise<FakeEndpoint> {
	const endpoint = await startFakeEndpoint();
	endpoint.setBehaviour((request, socket) => {
		async function sendEvents(): Promise<void> {
			socket.write(formatStreamHead(request));
			for (let id = 0; id < events && !socket.destroyed; id++) {
				const text = `id: ${id}\ndata: ${'x'.repeat(eventBytes)}\n\n`;
				socket.write(`${text.length.toString(16)}\r\n${text}\r\n`);
				// eslint-disable-next-line no-await-in-loop -- one event after the other
				await wait(pauseMs);
			}

			socket.write('0\r\n\r\n');
		}

		void sendEvents();
	});
	return endpoint;
}
