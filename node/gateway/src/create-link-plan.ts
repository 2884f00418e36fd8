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
	Silence after which a link is broken.
	*/
	readonly linkTimeoutMs: number;
	/**
	Time after which a relay that could not be reached is tried again.
	*/
	readonly suspectMs: number;
	readonly logger: Logger;
	/**
	Sends the node's work in full; that opens the link when there is none.
	*/
	readonly sendFullState: (node: string) => void;
};

/**
 Creates the keeper of a node's links. `update` is called regularly: it plans anew when the fleet has changed, opens what is
 missing and breaks what is silent, since an open connection may fall silent for good.

 @example
 const links = createLinkPlan(options);
 links.update();
 links.isRelay('n1');
 */
export function createLinkPlan(options: LinkPlanOptions): LinkPlan {
	const {self, network, view, logger, linkTimeoutMs: silenceMs} = options;
	const heardAt = new Map<string, number>();
	const suspectedAt = new Map<string, number>();
	/**
	Links that this node opened; what others opened is theirs to close.
	*/
	const opened = new Set<string>();
	let overlay: Overlay = {
		isMesh: true, relays: new Map([[self.id, self.dataCentre]]), strengths: new Map(), followers: new Set([self.id]),
	};
	let isChanged = true;
	let parent: string | undefined;
	let updatedAt = performance.now();

	view.events.on(['node', 'nodeRemoved'], () => {
		isChanged = true;
	});

	function isRelay(node: string): boolean {
		return overlay.relays.has(node);
	}

	function planAnew(): void {
		isChanged = false;
		overlay = planOverlay([...view.nodes().filter(({id}) => id !== self.id), self], {meshNodes: options.meshNodes});
	}

	function listSuspects(now: number): ReadonlySet<string> {
		return new Set(suspectedAt.entries().filter(([, at]) => now - at < options.suspectMs).map(([id]) => id));
	}

	/**
	Links that were never heard count from when they were first asked for.
	*/
	function isSilent(node: string, now: number): boolean {
		const at = heardAt.get(node) ?? now;
		heardAt.set(node, at);
		return now - at > silenceMs;
	}

	function markSuspect(node: string, now: number): void {
		heardAt.delete(node);
		suspectedAt.set(node, now);
		network.disconnect(node);
		logger.info({
			name: 'peer-state', peer: node, reachable: false, reason: `silent for ${silenceMs} ms`,
		});
	}

	function moveTo(next: string | undefined): void {
		if (next === parent) {
			return;
		}

		parent = next;
		heardAt.delete(next ?? '');
		logger.info({
			name: 'overlay-changed', nodes: view.nodes().length, relays: overlay.relays.size, isRelay: isRelay(self.id), parent: next,
		});
		if (next !== undefined) {
			openLink(next);
		}
	}

	function updateParent(now: number): void {
		if (parent !== undefined && isSilent(parent, now)) {
			markSuspect(parent, now);
		}

		const isKept = parent !== undefined && isRelay(parent) && !suspectedAt.has(parent);
		if (!isKept) {
			moveTo(chooseParent(overlay, {node: self.id, dataCentre: self.dataCentre, suspects: listSuspects(now)}));
		}

		closeOpened(node => node !== parent);
	}

	function findSource(): string | undefined {
		if (overlay.followers.has(self.id)) {
			return undefined;
		}

		const connected = new Set(network.connected());
		return parent ?? [...overlay.followers].find(id => connected.has(id));
	}

	function closeOpened(isNeedless: (node: string) => boolean): void {
		for (const node of opened) {
			if (!isNeedless(node)) {
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
	Of two relays the one with the smaller id opens the link.
	*/
	function updateRelays(now: number): void {
		moveTo(undefined);
		const connected = new Set(network.connected());
		for (const node of connected) {
			if (isSilent(node, now)) {
				markSuspect(node, now);
			}
		}

		for (const node of overlay.relays.keys()) {
			if (node > self.id && !connected.has(node)) {
				openLink(node);
			}
		}

		closeOpened(node => !isRelay(node));
	}

	/**
	A process that was frozen itself has heard nobody, whoever may have spoken.
	*/
	function adjustForOwnPause(now: number): void {
		if (now - updatedAt > silenceMs / 2) {
			heardAt.clear();
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
			adjustForOwnPause(now);
			if (isChanged) {
				planAnew();
			}

			if (isRelay(self.id)) {
				updateRelays(now);
			} else {
				updateParent(now);
			}
		},
		markSeen(node, at) {
			heardAt.set(node, Math.max(at, heardAt.get(node) ?? at));
		},
		markLost(node) {
			heardAt.delete(node);
			if (node !== parent) {
				return;
			}

			const now = performance.now();
			suspectedAt.set(node, now);
			updateParent(now);
		},
		isRelay,
		isFollower: () => overlay.followers.has(self.id),
		isSource: node => node === findSource(),
		isMesh: () => overlay.isMesh,
		parent: () => parent,
		listRelays: () => isRelay(self.id) ? network.connected().filter(id => isRelay(id)) : network.connected().filter(id => id === parent),
		listFollowers: () => network.connected().filter(id => overlay.followers.has(id)),
		listMembers: () => isRelay(self.id) ? network.connected().filter(id => !isRelay(id)) : [],
	};
}
