import {createLoadSync, type LoadSync} from '@valvesaddle/gateway';
import {chooseParent, planOverlay} from '@valvesaddle/overlay';
import type {EmulatedNode} from './emulated-node.ts';
import type {EmulationClock} from './emulation-clock.ts';
import type {EmulationLoad} from './emulation-load.ts';
import type {NodeThread} from './node-thread.ts';

/**
Data centres of a fleet with relays, and the maximum nodes of a full mesh; the default of the gateway.
*/
const dataCentres = 4;
const meshNodes = 16;
/**
Delay after which a member sends new placements, in milliseconds; the same as in the gateway.
*/
const placementDelayMs = 30;

type Links = {
	readonly relays: readonly string[];
	readonly members: readonly string[];
};

type LoadUpdatesOptions = {
	readonly clock: EmulationClock;
	readonly nodes: readonly EmulatedNode[];
	readonly load: EmulationLoad;
	/**
	Time after which no load updates are sent, in milliseconds.
	*/
	readonly untilMs: number;
};

/**
 Starts the load updates between emulated nodes, in a full mesh or through relays, as the gateway plans it.

 @example
 startLoadUpdates({clock, nodes, load, untilMs: 44_000});
 */
export function startLoadUpdates({clock, nodes, load, untilMs}: LoadUpdatesOptions): void {
	const links = planLinks(nodes.map(({id}) => id));
	const syncs = new Map<string, LoadSync>();
	const threads = new Map(nodes.map(({id, thread}) => [id, thread]));
	const isRelay = (node: string): boolean => (links.get(node)?.members.length ?? 0) > 0 || links.get(node)!.relays.length > 1;
	for (const {id, selector} of nodes) {
		const {relays, members} = links.get(id)!;
		syncs.set(id, createLoadSync({
			node: id,
			selector,
			countNodes: () => nodes.length,
			links: {
				isRelay, listRelays: () => relays, listMembers: () => members,
			},
			network: {
				isReady: () => true,
				notify(node, _method, update) {
					clock.add(load.linkMs, () => {
						threads.get(node)?.run(() => {
							syncs.get(node)?.applyLoadUpdate(update, id);
						});
					});
				},
			},
		}));
	}

	for (const [index, {id, setOnPlacement, thread}] of nodes.entries()) {
		const sync = syncs.get(id)!;
		// Spreads the updates of the nodes over the interval.
		clock.add(load.newsMs * index / syncs.size, () => {
			sendRepeatedly({clock, thread, sync}, {intervalMs: load.newsMs, intervalsPerMemberUpdate: load.intervalsPerMemberUpdate, untilMs});
		});
		if (!isRelay(id)) {
			setOnPlacement(createPlacementSender({clock, thread, sync}));
		}
	}
}

type SendSchedule = {
	readonly intervalMs: number;
	/**
	Relays send to their members once in this many intervals.
	*/
	readonly intervalsPerMemberUpdate: number;
	readonly untilMs: number;
};

type LoadSender = {
	readonly clock: EmulationClock;
	readonly thread: NodeThread;
	readonly sync: LoadSync;
};

function sendRepeatedly(sender: LoadSender, schedule: SendSchedule, interval = 0): void {
	const {clock, thread, sync} = sender;
	thread.runTimer(() => {
		sendAfterTurn(sync, interval % schedule.intervalsPerMemberUpdate === 0);
		if (clock.now() < schedule.untilMs) {
			clock.add(schedule.intervalMs, () => {
				sendRepeatedly(sender, schedule, interval + 1);
			});
		}
	});
}

/**
Sends once the node has read what had arrived, as the gateway does.
*/
function sendAfterTurn(sync: LoadSync, isMemberInterval: boolean): void {
	const readAt = performance.now();
	setImmediate(() => {
		sync.send(isMemberInterval, readAt);
	});
}

/**
Creates a handler by which a member sends new placements to its relay after a short delay.
*/
function createPlacementSender({clock, thread, sync}: LoadSender): () => void {
	let isScheduled = false;
	return () => {
		if (isScheduled) {
			return;
		}

		isScheduled = true;
		clock.add(placementDelayMs, () => {
			thread.runTimer(() => {
				isScheduled = false;
				sendAfterTurn(sync, false);
			});
		});
	};
}

function planLinks(ids: readonly string[]): ReadonlyMap<string, Links> {
	const members = ids.map((id, index) => ({id, dataCentre: `dc-${index % dataCentres}`, capacity: 1}));
	const overlay = planOverlay(members, {meshNodes});
	const parents = new Map(members.map(({id, dataCentre}) => [id, chooseParent(overlay, {node: id, dataCentre, suspects: new Set()})]));
	return new Map(ids.map(id => {
		const parent = parents.get(id);
		const relays = overlay.relays.has(id) ? overlay.relays.keys().filter(relay => relay !== id).toArray() : [parent ?? ''];
		return [id, {relays, members: ids.filter(other => parents.get(other) === id && !overlay.relays.has(other))}];
	}));
}
