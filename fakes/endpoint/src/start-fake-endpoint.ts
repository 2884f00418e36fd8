import {Buffer} from 'node:buffer';
import {createServer, type Socket} from 'node:net';
import {startListening} from '@valvesaddle/fake-http';
import type {ArrivedRequest} from './arrived-request.ts';
import {behaviours} from './behaviours.ts';
import type {EndpointBehaviour} from './endpoint-behaviour.ts';
import type {FakeEndpoint} from './fake-endpoint.ts';

const headEnd = '\r\n\r\n';

/**
 Starts a stand-in for an endpoint. It reads requests with a length and answers as its behaviour says.

 @example
 const endpoint = await startFakeEndpoint();
 endpoint.setBehaviour(behaviours.notRun);
 */
export async function startFakeEndpoint(): Promise<FakeEndpoint> {
	const arrived: ArrivedRequest[] = [];
	const sockets = new Set<Socket>();
	let behaviour: EndpointBehaviour = behaviours.whole;
	const open: Array<{readonly request: ArrivedRequest; readonly socket: Socket; readonly written: number}> = [];
	const resumed = Promise.withResolvers<void>();
	const held = new Map<Socket, string>();
	let isHolding = false;
	let connections = 0;
	let closed = 0;

	function markHeld(socket: Socket, data: Uint8Array): void {
		const text = Buffer.from(data).toString('latin1');
		if (!isHolding || !text.includes(headEnd)) {
			return;
		}

		held.set(socket, text.slice(0, text.indexOf('\r\n')));
		socket.pause();
	}

	const server = createServer(socket => {
		const connection = ++connections;
		let data = Buffer.alloc(0);
		sockets.add(socket);
		socket.on('error', () => {
			// The other side may break a connection at any time.
		});
		socket.on('close', () => {
			sockets.delete(socket);
			closed++;
		});
		socket.on('data', piece => {
			data = Buffer.concat([data, piece]);
			for (let request = readRequest(data); request !== undefined; request = readRequest(data)) {
				data = data.subarray(request.bytes);
				const whole = {...request.parsed, connection};
				arrived.push(whole);
				open.push({request: whole, socket, written: socket.bytesWritten});
				void behaviour(whole, socket, resumed.promise);
			}

			markHeld(socket, data);
		});
	});
	const address = await startListening(server);

	return {
		address,
		setBehaviour(newBehaviour) {
			behaviour = newBehaviour;
		},
		answerOpen(kind) {
			for (const {request, socket, written} of open) {
				if (!socket.destroyed && socket.bytesWritten === written) {
					void behaviours[kind](request, socket, resumed.promise);
				}
			}
		},
		holdBodies() {
			isHolding = true;
		},
		heldBodies: () => held.values().toArray(),
		resume() {
			isHolding = false;
			resumed.resolve();
			for (const socket of held.keys()) {
				socket.resume();
			}

			held.clear();
		},
		arrived: () => arrived,
		closedConnections: () => closed,
		async close() {
			const ended = Promise.withResolvers<void>();
			server.close(() => {
				ended.resolve();
			});
			for (const socket of sockets) {
				socket.destroy();
			}

			await ended.promise;
		},
	};
}

type ReadRequest = {
	readonly bytes: number;
	readonly parsed: Omit<ArrivedRequest, 'connection'>;
};

function readRequest(data: Uint8Array): ReadRequest | undefined {
	const text = Buffer.from(data).toString('latin1');
	const end = text.indexOf(headEnd);
	if (end === -1) {
		return undefined;
	}

	const [line = '', ...rows] = text.slice(0, end).split('\r\n');
	const headers = new Map(rows.map(row => {
		const colon = row.indexOf(':');
		return [row.slice(0, colon).toLowerCase(), row.slice(colon + 1).trim()] as const;
	}));
	const bytes = end + headEnd.length + Number(headers.get('content-length') ?? 0);
	return text.length < bytes
		? undefined
		: {
			bytes, parsed: {
				line, headers, requestId: headers.get('x-attempt-id') ?? '', lastEventId: Number(headers.get('last-event-id') ?? -1), body: text.slice(end + headEnd.length, bytes),
			},
		};
}
