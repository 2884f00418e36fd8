import type {GatewayNode} from '@valvesaddle/gateway-types';
import {createSocketPair} from './create-socket-pair.ts';
import type {EmulatedSocket} from './emulated-socket.ts';
import type {LinkHub} from './link-hub.ts';
import type {LinkTraits} from './link-traits.ts';

type RegisteredNode = {
	readonly node: GatewayNode;
	readonly accept: (peer: string, socket: EmulatedSocket) => void;
	end?: 'reset' | 'silence';
	/**
	Time at which the uplink will have sent all queued messages, in milliseconds of `performance.now()`.
	*/
	uplinkFreeAt: number;
};

type Link = {
	readonly nodes: readonly [string, string];
	readonly sockets: readonly [EmulatedSocket, EmulatedSocket];
	isDropping: boolean;
};

type LinkHubOptions = {
	readonly traits: LinkTraits;
	readonly random: () => number;
};

/**
Retransmission timeouts, in milliseconds: of a message, the minimum of TCP on Linux (`TCP_RTO_MIN`), and of the packet that
opens a connection (RFC 6298).
*/
const retransmitMs = 200;
const connectRetransmitMs = 1000;

/**
 Creates the emulated network between nodes: links that delay, drop messages, partition and break.

 @example
 const hub = createLinkHub({traits: {nearMs: 1, farMs: 12, jitterShare: 0.3, lossShare: 0}, random});
 hub.setCut(['a', 'b'], true);
 */
export function createLinkHub({traits, random}: LinkHubOptions): LinkHub {
	const byId = new Map<string, RegisteredNode>();
	const byAddress = new Map<string, RegisteredNode>();
	const partitions = new Set<string>();
	const links = new Set<Link>();

	function measureDelay(a: RegisteredNode, b: RegisteredNode): number {
		const baseMs = a.node.dataCentre === b.node.dataCentre ? traits.nearMs : traits.farMs;
		return baseMs * (1 + (traits.jitterShare * random()));
	}

	/**
	Time until a message has left its node, in milliseconds. All links of a node share its uplink, which sends in order.
	*/
	function measureUplinkDelay(registered: RegisteredNode, bytes: number): number {
		if (traits.uplinkBytesPerMs === undefined) {
			return 0;
		}

		const now = performance.now();
		registered.uplinkFreeAt = Math.max(now, registered.uplinkFreeAt) + (bytes / traits.uplinkBytesPerMs);
		return registered.uplinkFreeAt - now;
	}

	function measureRetransmission(timeoutMs: number): number {
		return random() < traits.lossShare ? timeoutMs : 0;
	}

	function isPartitioned(a: RegisteredNode, b: RegisteredNode): boolean {
		return partitions.has(toPartitionKey([a.node.dataCentre, b.node.dataCentre]));
	}

	function addLink(from: RegisteredNode, to: RegisteredNode): Link {
		const [near, far] = createSocketPair({
			measureDelay: (end, bytes) => measureUplinkDelay(end === 'near' ? from : to, bytes) + measureDelay(from, to) + measureRetransmission(retransmitMs),
			isPartitioned: () => isPartitioned(from, to),
			isDropping: () => link.isDropping,
		});
		const link: Link = {nodes: [from.node.id, to.node.id], sockets: [near, far], isDropping: false};
		links.add(link);
		for (const socket of link.sockets) {
			socket.once('close', () => {
				links.delete(link);
			});
		}

		return link;
	}

	function endLinks(node: string, how: 'reset' | 'silence'): void {
		for (const link of links) {
			if (!link.nodes.includes(node)) {
				continue;
			}

			if (how === 'silence') {
				link.isDropping = true;
			} else {
				link.sockets[link.nodes.indexOf(node)]!.terminate();
			}
		}
	}

	return {
		register(node, accept) {
			const registered: RegisteredNode = {node, accept, uplinkFreeAt: 0};
			byId.set(node.id, registered);
			byAddress.set(node.address, registered);
		},
		async open(from, address, timeoutMs) {
			const near = byId.get(from)!;
			const far = byAddress.get(address);
			const {promise, resolve, reject} = Promise.withResolvers<void>();
			let hasTimedOut = false;
			setTimeout(() => {
				hasTimedOut = true;
				reject(new Error('the handshake timed out'));
			}, timeoutMs);
			if (near.end !== undefined || far?.end === 'silence' || (far !== undefined && isPartitioned(near, far))) {
				return promise;
			}

			// One and a half round trips: the TCP handshake, then the upgrade request.
			const delayMs = far === undefined ? traits.nearMs : measureDelay(near, far);
			setTimeout(() => {
				if (far === undefined || far.end !== undefined) {
					reject(new Error('the connection was refused'));
					return;
				}

				const [nearSocket, farSocket] = addLink(near, far).sockets;
				far.accept(from, farSocket);
				nearSocket.once('open', () => {
					if (hasTimedOut) {
						nearSocket.terminate();
						return;
					}

					near.accept(far.node.id, nearSocket);
					resolve();
				});
			}, (3 * delayMs) + measureRetransmission(connectRetransmitMs));
			return promise;
		},
		endNode(node, how) {
			endLinks(node, how);
			byId.get(node)!.end = how;
		},
		endLinks,
		setPartition(between, isOn) {
			if (isOn) {
				partitions.add(toPartitionKey(between));
			} else {
				partitions.delete(toPartitionKey(between));
			}
		},
	};
}

function toPartitionKey(between: readonly [string, string]): string {
	return between.toSorted((a, b) => a.localeCompare(b)).join(' ');
}
