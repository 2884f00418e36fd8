import type {ClusterView} from '@valvesaddle/cluster-view';
import type {GatewayNode} from '@valvesaddle/gateway-types';
import type {Logger} from '@valvesaddle/logger';
import type {PeerNetwork} from '@valvesaddle/network';
import {chooseParent, planOverlay, type Overlay} from '@valvesaddle/overlay';
import type {LinkPlan} from './link-plan.ts';

/**
Options of `createLinkPlan`. All times are in milliseconds.
*/
type LinkPlanOptions = {
	readonly self: GatewayNode;
	readonly network: PeerNetwork;
	readonly view: ClusterView;
	readonly meshNodes: number;
	/**
	Time without a message after which a link is closed.
	*/
	readonly linkTimeoutMs: number;
	/**
	Time after which an unreachable relay is tried again.
	*/
	readonly suspectMs: number;
	readonly logger: Logger;
	/**
	Sends the node's full load; this opens the link if there is none.
	*/
	readonly sendFullState: (node: string) => void;
};

/**
Part of the link timeout after which a relay opens a link that the other one should have opened.
*/
const openDelayShare = 1 / 3;

/**
 Creates the plan of a node's links. `update` is called periodically: it plans again when the fleet has changed, opens missing
 links and closes those that timed out, since a connection can stay open without delivering messages.

 @example
 const links = createLinkPlan(options);
 links.update();
 links.isRelay('n1');
 */
export function createLinkPlan(options: LinkPlanOptions): LinkPlan {
	const {self, network, view, logger, linkTimeoutMs} = options;
	const lastSeenAt = new Map<string, number>();
	const suspectedAt = new Map<string, number>();
	/**
	Since when links are missing that the other node should open.
	*/
	const missingSince = new Map<string, number>();
	/**
	Links that this node opened; links that peers opened are closed by them.
	*/
	const opened = new Set<string>();
	let overlay: Overlay = {
		isMesh: true, relays: new Map([[self.id, self.dataCentre]]), relativeCapacities: new Map(), followers: new Set([self.id]),
	};
	let isChanged = true;
	let isPlanned = false;
	let parent: string | undefined;
	let updatedAt = performance.now();

	view.events.on(['node', 'nodeRemoved'], () => {
		isChanged = true;
	});

	function isRelay(node: string): boolean {
		return overlay.relays.has(node);
	}

	function updateOverlay(): void {
		isChanged = false;
		isPlanned = true;
		overlay = planOverlay([...view.nodes().filter(({id}) => id !== self.id), self], {meshNodes: options.meshNodes});
	}

	function listSuspects(now: number): ReadonlySet<string> {
		return new Set(suspectedAt.entries().filter(([, at]) => now - at < options.suspectMs).map(([id]) => id));
	}

	/**
	For a link without a message, the timeout starts at the first check.
	*/
	function hasTimedOut(node: string, now: number): boolean {
		const at = lastSeenAt.get(node) ?? now;
		lastSeenAt.set(node, at);
		return now - at > linkTimeoutMs;
	}

	function markSuspect(node: string, now: number): void {
		lastSeenAt.delete(node);
		suspectedAt.set(node, now);
		network.disconnect(node);
		logger.info({
			name: 'peer-state', peer: node, reachable: false, reason: `silent for ${linkTimeoutMs} ms`,
		});
	}

	function moveTo(next: string | undefined): void {
		if (next === parent) {
			return;
		}

		parent = next;
		lastSeenAt.delete(next ?? '');
		logger.info({
			name: 'overlay-changed', nodes: view.nodes().length, relays: overlay.relays.size, isRelay: isRelay(self.id), parent: next,
		});
		if (next !== undefined) {
			openLink(next);
		}
	}

	function updateParent(now: number): void {
		if (parent !== undefined && hasTimedOut(parent, now)) {
			markSuspect(parent, now);
		}

		const isKept = parent !== undefined && isRelay(parent) && !suspectedAt.has(parent);
		if (!isKept) {
			moveTo(chooseParent(overlay, {node: self.id, dataCentre: self.dataCentre, suspects: listSuspects(now)}));
		}

		closeOpenedLinks(node => node !== parent);
	}

	function findSource(): string | undefined {
		if (overlay.followers.has(self.id)) {
			return undefined;
		}

		const connected = new Set(network.connected());
		return parent ?? [...overlay.followers].find(id => connected.has(id));
	}

	function closeOpenedLinks(isUnneeded: (node: string) => boolean): void {
		for (const node of opened) {
			if (!isUnneeded(node)) {
				continue;
			}

			opened.delete(node);
			network.disconnect(node);
		}
	}

	function openLink(node: string): void {
		opened.add(node);
		options.sendFullState(node);
	}

	/**
	Of two relays, the one with the smaller id opens the link. If it does not for some time, it may not know the other one, which then
	opens the link instead.
	*/
	function isOpener(node: string, now: number): boolean {
		if (node > self.id) {
			return true;
		}

		const since = missingSince.get(node) ?? now;
		missingSince.set(node, since);
		return now - since >= openDelayShare * linkTimeoutMs;
	}

	function updateRelays(now: number): void {
		moveTo(undefined);
		const connected = new Set(network.connected());
		for (const node of connected) {
			if (hasTimedOut(node, now)) {
				markSuspect(node, now);
			}
		}

		for (const node of missingSince.keys()) {
			if (connected.has(node) || !isRelay(node)) {
				missingSince.delete(node);
			}
		}

		for (const node of overlay.relays.keys()) {
			if (node !== self.id && !connected.has(node) && isOpener(node, now)) {
				openLink(node);
			}
		}

		closeOpenedLinks(node => !isRelay(node));
	}

	/**
	After a pause of this process, missing messages are no evidence that a link has failed.
	*/
	function adjustForProcessPause(now: number): void {
		if (now - updatedAt > linkTimeoutMs / 2) {
			lastSeenAt.clear();
		}

		updatedAt = now;
		for (const [node, at] of suspectedAt) {
			if (now - at >= options.suspectMs) {
				suspectedAt.delete(node);
			}
		}
	}

	return {
		update() {
			const now = performance.now();
			adjustForProcessPause(now);
			if (isChanged) {
				updateOverlay();
			}

			if (isRelay(self.id)) {
				updateRelays(now);
			} else {
				updateParent(now);
			}
		},
		markSeen(node, at) {
			lastSeenAt.set(node, Math.max(at, lastSeenAt.get(node) ?? at));
		},
		markLost(node) {
			lastSeenAt.delete(node);
			if (node !== parent) {
				return;
			}

			const now = performance.now();
			suspectedAt.set(node, now);
			updateParent(now);
		},
		isRelay,
		isFollower: () => overlay.followers.has(self.id),
		isPlanned: () => isPlanned,
		isSource: node => node === findSource(),
		isMesh: () => overlay.isMesh,
		parent: () => parent,
		listRelays: () => isRelay(self.id) ? network.connected().filter(id => isRelay(id)) : network.connected().filter(id => id === parent),
		listFollowers: () => network.connected().filter(id => overlay.followers.has(id)),
		listMembers: () => isRelay(self.id) ? network.connected().filter(id => !isRelay(id)) : [],
	};
}
