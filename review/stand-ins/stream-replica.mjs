// A replica as a process of its own, which a script can kill. Its streams have no length and end with their channel.
// Arguments: host, bytes of an event's text, and the time between two writes in milliseconds.
/* eslint-disable no-await-in-loop -- one step after the other */
import process from 'node:process';
import {formatHead, startReplica} from './replica.mjs';

const [host, events, pauseMs] = [process.argv[2], Number(process.argv[3]), Number(process.argv[4])];
const wait = milliseconds => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});

async function answer(request, socket) {
	const from = Number(request.headers.get('last-event-id') ?? -1) + 1;
	socket.write(formatHead('200 OK', request, {'x-response-seal': `seal-of-${request.id}`, 'content-type': 'text/event-stream', connection: 'close'}));
	for (let id = from; id < events; id++) {
		// An event leaves in two writes, as its tokens are made.
		for (const piece of [`id: ${id}\ndata: tokens of `, `event ${id} of ${request.id}\n\n`]) {
			await wait(pauseMs);
			if (socket.destroyed) {
				return;
			}

			socket.write(piece);
		}
	}

	socket.end();
}

const replica = await startReplica({
	host,
	handle(request, socket) {
		process.send?.({run: request.id});
		answer(request, socket);
	},
});
process.send?.({address: replica.address});
process.on('disconnect', () => {
	process.exit();
});
