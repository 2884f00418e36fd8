import {timingSafeEqual} from 'node:crypto';
import {createServer, type IncomingMessage, type Server} from 'node:http';
import {Buffer} from 'node:buffer';
import {setTimeout as delay} from 'node:timers/promises';
import Emittery from 'emittery';
import {createJSONRPCNotification} from 'json-rpc-2.0';
import {ResultAsync} from 'neverthrow';
import {WebSocket, WebSocketServer, type PerMessageDeflateOptions} from 'ws';
import {ValvesaddleError} from '@valvesaddle/error';
import {closeServer, startServer} from '@valvesaddle/http-server';
import {measureTick} from '@valvesaddle/ticks';
import {createPeerLink} from './create-peer-link.ts';
import {fromRpcError} from './from-rpc-error.ts';
import type {PeerEvents} from './peer-events.ts';
import type {PeerHandlers} from './peer-handlers.ts';
import type {PeerLink} from './peer-link.ts';
import type {PeerNetwork} from './peer-network.ts';
import type {PeerNetworkOptions} from './peer-network-options.ts';

const nodeHeader = 'x-valvesaddle-node';
const maximumMessageBytes = 2 * 1024 * 1024;
const checksPerTimeout = 5;
/**
Time that peers get to take in the last messages when the network is closed, in milliseconds.
*/
const closeTimeoutMs = 1000;
const closeCheckMs = 5;
/**
Small windows limit the memory that each link takes; messages are short and similar.
*/
const compression: PerMessageDeflateOptions = {
	threshold: 0, serverMaxWindowBits: 11, clientMaxWindowBits: 11, zlibDeflateOptions: {level: 1, memLevel: 4},
};

/**
 Creates the peer network of a node. It listens for links from peers and opens a link on the first message to a peer.

 @example
 const network = createPeerNetwork({node: 'a1', host: '127.0.0.1', port: 0, token, findAddress, linkTimeoutMs: 600, metrics});
 await network.listen({'peer.hello': () => 'hello'});
 */
export function createPeerNetwork(options: PeerNetworkOptions): PeerNetwork {
	const {metrics} = options;
	const events = new Emittery<PeerEvents>();
	const links = new Map<string, PeerLink>();
	const openingLinks = new Map<string, Promise<PeerLink>>();
	const allLinks = new Set<PeerLink>();
	let handlers: PeerHandlers = {};
	let httpServer: Server | undefined;
	let socketServer: WebSocketServer | undefined;
	let isClosed = false;

	function updateLinks(): void {
		const now = performance.now();
		for (const link of allLinks) {
			link.tick(now);
		}

		metrics.gauge('peer.bytes-waiting', Math.max(0, ...allLinks.values().map(link => link.countUnconfirmed())));
		timer = setTimeout(updateLinks, measureTick(options.linkTimeoutMs / checksPerTimeout)).unref();
	}

	let timer = setTimeout(updateLinks, measureTick(options.linkTimeoutMs / checksPerTimeout)).unref();

	function addLink(node: string, socket: WebSocket): PeerLink {
		const link = createPeerLink({
			node, socket, handlers, linkTimeoutMs: options.linkTimeoutMs, metrics,
			onClose() {
				removeLink(link);
			},
		});
		allLinks.add(link);
		links.set(node, link);
		void events.emit('found', {node});
		return link;
	}

	/**
	Removes a closed link. Two nodes that call each other at the same time have two; the peer is lost with the last one.
	*/
	function removeLink(link: PeerLink): void {
		const {node} = link;
		allLinks.delete(link);
		if (links.get(node) !== link) {
			return;
		}

		const other = allLinks.values().find(candidate => candidate.node === node);
		if (other !== undefined) {
			links.set(node, other);
			return;
		}

		links.delete(node);
		metrics.increment('peer.links-lost');
		void events.emit('lost', {node});
	}

	function isPeer(request: IncomingMessage): boolean {
		const isKnown = hasToken(request, options.token);
		metrics.increment('peer.refused', isKnown ? 0 : 1);
		return isKnown && !isClosed;
	}

	async function openLink(node: string): Promise<PeerLink> {
		const address = options.findAddress(node);
		if (address === undefined || isClosed) {
			throw new ValvesaddleError('ERR_VALVESADDLE_PEER_UNREACHABLE', `the address of ${node} is not known`);
		}

		const socket = new WebSocket(`ws://${address}`, {
			headers: {authorization: `Bearer ${options.findToken?.(node) ?? options.token}`, [nodeHeader]: options.node},
			handshakeTimeout: options.linkTimeoutMs,
			perMessageDeflate: options.isCompressed ? compression : false,
			maxPayload: maximumMessageBytes,
		});
		const {promise, resolve, reject} = Promise.withResolvers<PeerLink>();
		socket.once('open', () => {
			resolve(addLink(node, socket));
		});
		socket.once('error', cause => {
			reject(new ValvesaddleError('ERR_VALVESADDLE_PEER_UNREACHABLE', `${node} at ${address}: ${cause.message}`, {cause}));
		});
		return promise;
	}

	async function getLink(node: string): Promise<PeerLink> {
		const existing = links.get(node);
		if (existing !== undefined) {
			return existing;
		}

		const started = openingLinks.get(node) ?? openLink(node);
		openingLinks.set(node, started);
		try {
			return await started;
		} finally {
			openingLinks.delete(node);
		}
	}

	/**
	Closes all links behind the messages that were sent on them, and those whose peer does not take them in after a while.
	*/
	async function endLinks(): Promise<void> {
		const startedAt = performance.now();
		for (const link of allLinks) {
			link.end();
		}

		while (allLinks.size > 0 && performance.now() - startedAt < closeTimeoutMs) {
			// eslint-disable-next-line no-await-in-loop -- until the last link has closed
			await delay(closeCheckMs);
		}

		for (const link of allLinks) {
			link.close();
		}
	}

	async function callNode(node: string, method: string, parameters: unknown): Promise<unknown> {
		const link = await getLink(node);
		return link.call(method, parameters);
	}

	return {
		events,
		async listen(peerHandlers) {
			handlers = peerHandlers;
			httpServer = createServer((_request, response) => {
				response.writeHead(426).end();
			});
			socketServer = new WebSocketServer({
				server: httpServer,
				perMessageDeflate: options.isCompressed ? compression : false,
				maxPayload: maximumMessageBytes,
				verifyClient: ({req}: {req: IncomingMessage}) => isPeer(req),
			});
			socketServer.on('connection', (socket, request) => {
				addLink(String(request.headers[nodeHeader]), socket);
			});
			return startServer(httpServer, options);
		},
		call: (node, method, parameters) => ResultAsync.fromPromise(callNode(node, method, parameters), thrown => toPeerError(thrown)),
		notify(node, method, parameters) {
			getLink(node).then(link => {
				link.notify(method, parameters);
			}).catch(() => {
				metrics.increment('peer.notifications-lost');
			});
		},
		broadcast(method, parameters, nodes) {
			const targets = nodes === undefined ? links.values().toArray() : nodes.flatMap(node => links.get(node) ?? []);
			// Serialized once for all links.
			const text = targets.length === 0 ? '' : JSON.stringify(createJSONRPCNotification(method, parameters));
			for (const link of targets) {
				try {
					link.sendSerialized(text);
				} catch {
					metrics.increment('peer.notifications-lost');
				}
			}
		},
		isReady: node => links.get(node)?.isReady() ?? true,
		connected: () => links.keys().toArray(),
		disconnect(node) {
			links.get(node)?.close();
		},
		async close() {
			isClosed = true;
			clearTimeout(timer);
			const closed = httpServer === undefined ? undefined : closeServer(httpServer);
			await endLinks();
			socketServer?.close();
			await closed;
		},
	};
}

function hasToken(request: IncomingMessage, token: string): boolean {
	const given = Buffer.from(request.headers.authorization ?? '');
	const expected = Buffer.from(`Bearer ${token}`);
	return given.length === expected.length && timingSafeEqual(given, expected) && request.headers[nodeHeader] !== undefined;
}

function toPeerError(thrown: unknown): ValvesaddleError {
	const error = fromRpcError(thrown);
	const isBroken = error.code === 'ERR_VALVESADDLE_INTERNAL' || error.code === 'ERR_VALVESADDLE_MESSAGE_INVALID';
	return isBroken ? new ValvesaddleError('ERR_VALVESADDLE_PEER_UNREACHABLE', error.message, {cause: error}) : error;
}
