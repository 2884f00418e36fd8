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
import {createSendWindow} from './create-send-window.ts';
import {toRpcError} from './to-rpc-error.ts';

/**
A link without messages in either direction for this long is closed.
*/
const idleMs = 60_000;
/**
Pings sent within one link timeout while a call is pending.
*/
const pingsPerTimeout = 3;
/**
Ticks within one link timeout at least, unless the event loop is blocked.
*/
const ticksPerTimeout = 4;

/**
Link timeouts after which a link is closed whose peer sends messages but does not confirm those it is sent. More than one,
since the confirmation follows all data that was sent before it.
*/
const unconfirmedTimeouts = 5;

/**
 Creates a link over an open socket. The link owns the socket.

 @example
 const link = createPeerLink({node: 'b1', socket, handlers, linkTimeoutMs: 600, metrics, onClose() {}});
 await link.call('dispatch.acquire', request);
 */
export function createPeerLink(options: PeerLinkOptions): PeerLink {
	const {socket, metrics} = options;
	// Monotonic, so that a change of the system clock does not affect timeouts.
	let lastReceivedAt = performance.now();
	let lastUsedAt = lastReceivedAt;
	let lastPingAt = lastReceivedAt;
	let lastTickAt = lastReceivedAt;
	/**
	Time of the first ping since the last received message; `undefined` when there is none.
	*/
	let unansweredSince: number | undefined;
	let pendingCalls = 0;
	const sendWindow = createSendWindow(text => {
		socket.ping(text);
	});

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
		sendSerialized(JSON.stringify(message));
	}

	function sendSerialized(text: string): void {
		if (socket.readyState !== WebSocket.OPEN) {
			throw new ValvesaddleError('ERR_VALVESADDLE_PEER_UNREACHABLE', `the link to ${options.node} is closed`);
		}

		metrics.increment('peer.bytes-sent', text.length);
		metrics.increment('peer.messages-sent');
		socket.send(text);
		sendWindow.addSent(text.length);
	}

	function applyPong(data: RawData): void {
		markReceived();
		metrics.increment('peer.pongs-invalid', sendWindow.applyPong(decodeText(data)) ? 0 : 1);
	}

	async function handleMessage(data: RawData): Promise<void> {
		const text = decodeText(data);
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

		if (message.id === undefined) {
			handleNotification(message);
			return;
		}

		const response = await server.receive(message);
		if (response && socket.readyState === WebSocket.OPEN) {
			sendText(response);
		}
	}

	/**
	Bypasses the JSON-RPC server, since a notification has no response. Nearly all messages are notifications.
	*/
	function handleNotification({method, params}: JSONRPCRequest): void {
		const handleFailed = (): void => {
			metrics.increment('peer.calls-failed');
		};

		try {
			const handled = Object.hasOwn(options.handlers, method) ? options.handlers[method]?.(params, options.node) : undefined;
			if (handled instanceof Promise) {
				handled.catch(handleFailed);
			}
		} catch {
			handleFailed();
		}
	}

	function markReceived(): void {
		lastReceivedAt = performance.now();
		unansweredSince = undefined;
	}

	/**
	Restarts all timeouts after this process was paused, since messages received meanwhile are not processed yet.
	*/
	function markPaused(now: number): void {
		unansweredSince = undefined;
		lastUsedAt = now;
		sendWindow.markPaused(now);
	}

	/**
	Leaves the delay of a late tick out of the peer's silence: messages that arrived meanwhile are read after the tick.
	*/
	function markLate(now: number): void {
		const lateMs = now - lastTickAt - (options.linkTimeoutMs / ticksPerTimeout);
		if (unansweredSince !== undefined && lateMs > 0) {
			unansweredSince += lateMs;
		}
	}

	socket.on('message', data => {
		markReceived();
		handleMessage(data).catch(() => {
			metrics.increment('peer.messages-invalid');
		});
	});
	socket.on('pong', applyPong);
	socket.on('ping', markReceived);
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
			lastUsedAt = performance.now();
			pendingCalls++;
			try {
				const answer: unknown = await client.request(method, parameters);
				return answer;
			} finally {
				pendingCalls--;
				lastUsedAt = performance.now();
			}
		},
		notify(method, parameters) {
			lastUsedAt = performance.now();
			client.notify(method, parameters);
		},
		sendSerialized(text) {
			lastUsedAt = performance.now();
			sendSerialized(text);
		},
		tick(now) {
			if (now - lastTickAt >= options.linkTimeoutMs) {
				markPaused(now);
			}

			markLate(now);
			lastTickAt = now;
			if (unansweredSince !== undefined && now - unansweredSince >= options.linkTimeoutMs) {
				socket.terminate();
			} else if (sendWindow.measureWait(now) >= unconfirmedTimeouts * options.linkTimeoutMs) {
				// The node sends less to a peer whose send window is full, and messages from the peer keep the link from timing out.
				metrics.increment('peer.links-unconfirmed');
				socket.terminate();
			} else if (pendingCalls > 0 && now - Math.max(lastReceivedAt, lastPingAt) >= options.linkTimeoutMs / pingsPerTimeout) {
				lastPingAt = now;
				unansweredSince ??= now;
				socket.ping(String(sendWindow.countSent()));
			} else if (pendingCalls === 0 && now - Math.max(lastUsedAt, lastReceivedAt) >= idleMs) {
				socket.close();
			}
		},
		countUnconfirmed: sendWindow.countUnconfirmed,
		isReady: sendWindow.isReady,
		end() {
			socket.close();
		},
		close() {
			socket.terminate();
		},
	};
}

function decodeText(data: RawData): string {
	return data instanceof ArrayBuffer ? Buffer.from(data).toString() : data.toString();
}

function parseMessage(text: string): unknown {
	try {
		return JSON.parse(text) as unknown;
	} catch {
		return undefined;
	}
}
