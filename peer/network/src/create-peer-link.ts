import {Buffer} from 'node:buffer';
import {
	isJSONRPCRequest,
	isJSONRPCResponse,
	JSONRPCClient,
	JSONRPCServer,
	type JSONRPCRequest,
	type JSONRPCResponse,
} from 'json-rpc-2.0';
import {WebSocket, type RawData} from 'ws';
import {ValvesaddleError} from '@valvesaddle/error';
import type {PeerLink} from './peer-link.ts';
import type {PeerLinkOptions} from './peer-link-options.ts';
import {toRpcError} from './to-rpc-error.ts';

/**
A link without any call for so long is closed.
*/
const idleMs = 60_000;
/**
Pings go out at this part of the silence that breaks a link.
*/
const pingPart = 3;

/**
Bytes that may be under way to a node before it counts as not ready: little enough that those of twenty nodes pass an uplink of
7 Mbit/s within 0.4 s, and many times what a link carries within its round trip.
*/
const windowBytes = 16 * 1024;

/**
 Creates a link over an open socket. The link owns the socket.

 @example
 const link = createPeerLink({node: 'b1', socket, handlers, silenceMs: 600, metrics, onClose() {}});
 await link.call('dispatch.acquire', request);
 */
export function createPeerLink(options: PeerLinkOptions): PeerLink {
	const {socket, metrics} = options;
	let heardAt = Date.now();
	let usedAt = Date.now();
	let pingedAt = Date.now();
	let tickedAt = Date.now();
	/**
	Time of the first ping without any answer since; 0 when none is open.
	*/
	let unansweredSince = 0;
	let pending = 0;
	let sentBytes = 0;
	let confirmedBytes = 0;
	/**
	Bytes that a ping under way will confirm; 0 when there is none.
	*/
	let probedBytes = 0;

	const server = new JSONRPCServer({
		errorListener() {
			metrics.increment('peer.calls-failed');
		},
	});
	server.mapErrorToJSONRPCErrorResponse = toRpcError;
	for (const [method, handle] of Object.entries(options.handlers)) {
		server.addMethod(method, async (parameters: unknown) => handle(parameters, options.node));
	}

	const client = new JSONRPCClient((request: JSONRPCRequest) => {
		sendText(request);
	});

	function sendText(message: JSONRPCRequest | JSONRPCResponse | ReadonlyArray<JSONRPCRequest | JSONRPCResponse>): void {
		if (socket.readyState !== WebSocket.OPEN) {
			throw new ValvesaddleError('ERR_VALVESADDLE_PEER_UNREACHABLE', `the link to ${options.node} is closed`);
		}

		const text = JSON.stringify(message);
		metrics.increment('peer.bytes-sent', text.length);
		metrics.increment('peer.messages-sent');
		socket.send(text);
		sentBytes += text.length;
		updateProbe();
	}

	function countUnconfirmed(): number {
		return sentBytes - confirmedBytes;
	}

	/**
	A ping follows what was sent in the same stream, so its answer confirms all that was sent before it.
	*/
	function updateProbe(): void {
		if (!(probedBytes === 0 && countUnconfirmed() > windowBytes / 2)) {
			return;
		}

		probedBytes = sentBytes;
		socket.ping(String(sentBytes));
	}

	function applyPong(data: RawData): void {
		markHeard();
		confirmedBytes = Math.max(confirmedBytes, Number(toText(data)));
		probedBytes = 0;
		updateProbe();
	}

	async function handleMessage(data: RawData): Promise<void> {
		const text = toText(data);
		metrics.increment('peer.bytes-received', text.length);
		metrics.increment('peer.messages-received');
		const message = parseMessage(text);
		if (isJSONRPCResponse(message)) {
			client.receive(message);
			return;
		}

		if (!isJSONRPCRequest(message)) {
			metrics.increment('peer.messages-invalid');
			return;
		}

		const response = await server.receive(message);
		if (response && socket.readyState === WebSocket.OPEN) {
			sendText(response);
		}
	}

	function markHeard(): void {
		heardAt = Date.now();
		unansweredSince = 0;
	}

	socket.on('message', data => {
		markHeard();
		handleMessage(data).catch(() => {
			metrics.increment('peer.messages-invalid');
		});
	});
	socket.on('pong', applyPong);
	socket.on('ping', markHeard);
	socket.on('error', () => {
		metrics.increment('peer.link-errors');
	});
	socket.on('close', () => {
		client.rejectAllPendingRequests(`the link to ${options.node} broke`);
		options.onClose();
	});

	return {
		node: options.node,
		async call(method, parameters) {
			usedAt = Date.now();
			pending++;
			try {
				const answer: unknown = await client.request(method, parameters);
				return answer;
			} finally {
				pending--;
				usedAt = Date.now();
			}
		},
		notify(method, parameters) {
			usedAt = Date.now();
			client.notify(method, parameters);
		},
		tick(now) {
			const wasPaused = now - tickedAt >= options.silenceMs;
			tickedAt = now;
			if (wasPaused) {
				unansweredSince = 0;
			}

			if (unansweredSince > 0 && now - unansweredSince >= options.silenceMs) {
				socket.terminate();
			} else if (pending > 0 && now - Math.max(heardAt, pingedAt) >= options.silenceMs / pingPart) {
				pingedAt = now;
				unansweredSince ||= now;
				socket.ping(String(sentBytes));
			} else if (pending === 0 && now - Math.max(usedAt, heardAt) >= idleMs) {
				socket.close();
			}
		},
		countUnconfirmed,
		isReady: () => countUnconfirmed() <= windowBytes,
		close() {
			socket.terminate();
		},
	};
}

function toText(data: RawData): string {
	return data instanceof ArrayBuffer ? Buffer.from(data).toString() : data.toString();
}

function parseMessage(text: string): unknown {
	try {
		return JSON.parse(text) as unknown;
	} catch {
		return undefined;
	}
}
