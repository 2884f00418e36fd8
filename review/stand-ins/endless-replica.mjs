// A faulty replica as a process of its own: the body of its answer has no end. It sends a token of four bytes a chunk, 16 Mbit/s a channel.
// Argument: host. Requests to paths with `well` in them are answered as by a sound replica.

import {Buffer} from 'node:buffer';
import process from 'node:process';
import {formatHead, startReplica} from './replica.mjs';

const host = process.argv.at(2);
const stepMs = 10;
const bytesPerStep = 20_000;
const chunk = '4\r\nword\r\n';
const piece = Buffer.from(chunk.repeat(Math.floor(bytesPerStep / chunk.length)));

const replica = await startReplica({
	host,
	handle(request, socket) {
		process.send?.({run: request.id});
		if (request.line.includes('well')) {
			socket.write(`${formatHead('200 OK', request, {'x-response-seal': `seal-of-${request.id}`, 'content-length': 2})}ok`);
			return;
		}

		socket.write(formatHead('200 OK', request, {'x-response-seal': `seal-of-${request.id}`, 'transfer-encoding': 'chunked'}));
		const timer = setInterval(() => {
			if (!socket.writableNeedDrain) {
				socket.write(piece);
			}
		}, stepMs);
		socket.once('close', () => {
			clearInterval(timer);
			process.send?.({closed: request.id, bytes: socket.bytesWritten});
		});
	},
});
process.send?.({address: replica.address});
process.on('disconnect', () => {
	process.exit();
});
