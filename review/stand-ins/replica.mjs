// Stand-in for a replica: reads whole requests, and answers as its handler says.

import {Buffer} from 'node:buffer';
import {createServer} from 'node:net';

const headEnd = '\r\n\r\n';

function readRequest(data) {
	const end = data.indexOf(headEnd);
	if (end === -1) {
		return undefined;
	}

	const [line, ...rows] = data.subarray(0, end).toString('latin1').split('\r\n');
	const headers = new Map(rows.map(row => [row.slice(0, row.indexOf(':')).toLowerCase(), row.slice(row.indexOf(':') + 1).trim()]));
	const from = end + headEnd.length;
	const length = Number(headers.get('content-length') ?? 0);
	return data.length < from + length
		? undefined
		: {
			line, headers, body: data.subarray(from, from + length), bytes: from + length, id: headers.get('x-attempt-id'),
		};
}

export function formatHead(status, request, headers = {}) {
	const rows = Object.entries({'x-attempt-id': request.id, ...headers}).map(([name, value]) => `${name}: ${value}\r\n`).join('');
	return `HTTP/1.1 ${status}\r\n${rows}\r\n`;
}

// Starts a replica; `handle(request, socket)` answers, and `runs` lists what was run.
export async function startReplica({host, handle}) {
	const runs = [];
	const sockets = new Set();
	const server = createServer(socket => {
		let data = Buffer.alloc(0);
		sockets.add(socket);
		socket.setNoDelay(true);
		socket.on('error', () => {});
		socket.on('close', () => {
			sockets.delete(socket);
		});
		socket.on('data', piece => {
			data = Buffer.concat([data, piece]);
			for (let request = readRequest(data); request !== undefined; request = readRequest(data)) {
				data = data.subarray(request.bytes);
				handle(request, socket, runs);
			}
		});
	});
	await new Promise(resolve => {
		server.listen(0, host, resolve);
	});
	return {
		address: `${host}:${server.address().port}`,
		runs,
		sockets,
		close() {
			for (const socket of sockets) {
				socket.destroy();
			}

			server.close();
		},
	};
}
