import Emittery from 'emittery';
import {ResultAsync} from 'neverthrow';
import type {WebSocket} from 'ws';
import {toValvesaddleError, ValvesaddleError} from '@valvesaddle/error';
import type {GatewayNode} from '@valvesaddle/gateway-types';
import type {Metrics} from '@valvesaddle/metrics';
import {
	createPeerLink,
	type PeerEvents,
	type PeerHandlers,
	type PeerLink,
	type PeerNetwork,
} from '@valvesaddle/network';
import type {EmulatedSocket} from './emulated-socket.ts';
import type {LinkHub} from './link-hub.ts';

type EmulatedNetworkOptions = {
	readonly self: GatewayNode;
	readonly hub: LinkHub;
	readonly findAddress: (node: string) => string | undefined;
	/**
	Time without a message after which a link in use is closed, in milliseconds.
	*/
	readonly linkTimeoutMs: number;
	readonly metrics: Metrics;
};

/**
Checks of each link within its timeout.
*/
const checksPerTimeout = 6;

/**
 Creates the network of an emulated node: peer links over emulated sockets.

 @example
 const network = createEmulatedNetwork({self, hub, findAddress, linkTimeoutMs: 1200, metrics});
 await network.listen({'peer.hello': () => 'hello'});
 */
export function createEmulatedNetwork({self, hub, findAddress, linkTimeoutMs, metrics}: EmulatedNetworkOptions): PeerNetwork {
	const events = new Emittery<PeerEvents>();
	const links = new Map<string, PeerLink>();
	const opening = new Map<string, Promise<PeerLink>>();
	const all = new Set<PeerLink>();
	let handlers: PeerHandlers = {};
	let isClosed = false;

	const timer = setInterval(() => {
		const now = performance.now();
		for (const link of all) {
			link.tick(now);
		}
	}, linkTimeoutMs / checksPerTimeout);

	function addLink(node: string, socket: EmulatedSocket): void {
		const link = createPeerLink({
			node, socket: socket as unknown as WebSocket, handlers, linkTimeoutMs, metrics,
			onClose() {
				all.delete(link);
				if (links.get(node) !== link) {
					return;
				}

				links.delete(node);
				void events.emit('lost', {node});
			},
		});
		all.add(link);
		links.set(node, link);
		void events.emit('found', {node});
	}

	async function openLink(node: string): Promise<PeerLink> {
		const address = findAddress(node);
		if (address === undefined || isClosed) {
			throw new ValvesaddleError('ERR_VALVESADDLE_PEER_UNREACHABLE', `the address of ${node} is not known`);
		}

		await hub.open(self.id, address, linkTimeoutMs);
		const link = links.get(node);
		if (link === undefined) {
			throw new ValvesaddleError('ERR_VALVESADDLE_PEER_UNREACHABLE', `the link to ${node} broke`);
		}

		return link;
	}

	async function getLink(node: string): Promise<PeerLink> {
		const existing = links.get(node);
		if (existing !== undefined) {
			return existing;
		}

		const started = opening.get(node) ?? openLink(node);
		opening.set(node, started);
		try {
			return await started;
		} finally {
			opening.delete(node);
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
			hub.register(self, addLink);
			return self.address;
		},
		call: (node, method, parameters) => ResultAsync.fromPromise(callNode(node, method, parameters), toPeerError),
		notify(node, method, parameters) {
			getLink(node).then(link => {
				link.notify(method, parameters);
			}).catch(() => {
				metrics.increment('peer.notifications-lost');
			});
		},
		broadcast(method, parameters, nodes) {
			const targets = nodes === undefined ? links.values().toArray() : nodes.flatMap(node => links.get(node) ?? []);
			for (const link of targets) {
				try {
					link.notify(method, parameters);
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
			clearInterval(timer);
			for (const link of all) {
				link.close();
			}
		},
	};
}

function toPeerError(thrown: unknown): ValvesaddleError {
	const {message} = toValvesaddleError(thrown);
	return new ValvesaddleError('ERR_VALVESADDLE_PEER_UNREACHABLE', message, {cause: thrown});
}
