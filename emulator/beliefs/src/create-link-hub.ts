import type {GatewayNode} from '@valvesaddle/gateway-types';
import {createSocketPair} from './create-socket-pair.ts';
import type {EmulatedSocket} from './emulated-socket.ts';
import type {LinkHub} from './link-hub.ts';
import type {LinkTraits} from './link-traits.ts';

type Station = {
	readonly node: GatewayNode;
	readonly accept: (peer: string, socket: EmulatedSocket) => void;
	end?: 'reset' | 'silence';
	/**
	When all that it has sent will have left it, on the runtime's steady clock in milliseconds.
	*/
	sentBy: number;
};

type Link = {
	readonly nodes: readonly [string, string];
	readonly sockets: readonly [EmulatedSocket, EmulatedSocket];
	isSilent: boolean;
};

type LinkHubOptions = {
	readonly traits: LinkTraits;
	readonly random: () => number;
};

/**
Times until a lost message has been sent again, in milliseconds: the least that TCP on Linux waits (`TCP_RTO_MIN`), and a
second for what opens a connection (RFC 6298).
*/
const resendMs = 200;
const openAgainMs = 1000;

/**
 Creates what lies between the nodes: links that delay, stall, fall silent and break.

 @example
 const hub = createLinkHub({traits: {nearMs: 1, farMs: 12, jitterShare: 0.3, lossShare: 0}, random});
 hub.setCut(['a', 'b'], true);
 */
export function createLinkHub({traits, random}: LinkHubOptions): LinkHub {
	const stations = new Map<string, Station>();
	const byAddress = new Map<string, Station>();
	const cuts = new Set<string>();
	const links = new Set<Link>();

	function measureDelay(a: Station, b: Station): number {
		const usualMs = a.node.dataCentre === b.node.dataCentre ? traits.nearMs : traits.farMs;
		return usualMs * (1 + (traits.jitterShare * random()));
	}

	/**
	Time until a message has left its node: all that the node has sent before leaves first, whatever the link.
	*/
	function measureUplink(station: Station, bytes: number): number {
		if (traits.uplinkBytesPerMs === undefined) {
			return 0;
		}

		const now = performance.now();
		station.sentBy = Math.max(now, station.sentBy) + (bytes / traits.uplinkBytesPerMs);
		return station.sentBy - now;
	}

	function measureLoss(againMs: number): number {
		return random() < traits.lossShare ? againMs : 0;
	}

	function isCut(a: Station, b: Station): boolean {
		return cuts.has(toCutKey([a.node.dataCentre, b.node.dataCentre]));
	}

	function addLink(from: Station, to: Station): Link {
		const [near, far] = createSocketPair({
			measureDelay: (end, bytes) => measureUplink(end === 'near' ? from : to, bytes) + measureDelay(from, to) + measureLoss(resendMs),
			isCut: () => isCut(from, to),
			isSilent: () => link.isSilent,
		});
		const link: Link = {nodes: [from.node.id, to.node.id], sockets: [near, far], isSilent: false};
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
				link.isSilent = true;
			} else {
				link.sockets[link.nodes.indexOf(node)]!.terminate();
			}
		}
	}

	return {
		register(node, accept) {
			const station: Station = {node, accept, sentBy: 0};
			stations.set(node.id, station);
			byAddress.set(node.address, station);
		},
		async open(from, address, timeoutMs) {
			const near = stations.get(from)!;
			const far = byAddress.get(address);
			const {promise, resolve, reject} = Promise.withResolvers<void>();
			let isLate = false;
			setTimeout(() => {
				isLate = true;
				reject(new Error('the handshake has timed out'));
			}, timeoutMs);
			if (near.end !== undefined || far?.end === 'silence' || (far !== undefined && isCut(near, far))) {
				return promise;
			}

			// The connection first, then the request that the far end answers.
			const wayMs = far === undefined ? traits.nearMs : measureDelay(near, far);
			setTimeout(() => {
				if (far === undefined || far.end !== undefined) {
					reject(new Error('the connection was refused'));
					return;
				}

				const [nearSocket, farSocket] = addLink(near, far).sockets;
				far.accept(from, farSocket);
				nearSocket.once('open', () => {
					if (isLate) {
						nearSocket.terminate();
						return;
					}

					near.accept(far.node.id, nearSocket);
					resolve();
				});
			}, (3 * wayMs) + measureLoss(openAgainMs));
			return promise;
		},
		endNode(node, how) {
			endLinks(node, how);
			stations.get(node)!.end = how;
		},
		endLinks,
		setPartition(between, isOn) {
			if (isOn) {
				cuts.add(toCutKey(between));
			} else {
				cuts.delete(toCutKey(between));
			}
		},
	};
}

function toCutKey(between: readonly [string, string]): string {
	return between.toSorted((a, b) => a.localeCompare(b)).join(' ');
}
