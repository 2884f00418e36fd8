import {createNewsSync, type NewsSync} from '@valvesaddle/gateway';
import {chooseParent, planOverlay} from '@valvesaddle/overlay';
import type {EmulatedNode} from './emulated-node.ts';
import type {EmulationClock} from './emulation-clock.ts';
import type {EmulationLoad} from './emulation-load.ts';

/**
Data centres of a fleet with relays, and nodes up to which every node is linked with every other, as the gateway has it.
*/
const dataCentres = 4;
const meshNodes = 16;
/**
Time within which a member tells of what it has placed, in milliseconds, as the gateway has it.
*/
const placedMs = 30;

type Links = {
	readonly relays: readonly string[];
	readonly members: readonly string[];
};

type LoadUpdatesOptions = {
	readonly clock: EmulationClock;
	readonly nodes: readonly EmulatedNode[];
	readonly load: EmulationLoad;
	/**
	Time after which no more news are told, in milliseconds.
	*/
	readonly untilMs: number;
};

/**
 Starts the news between the nodes of an emulation, linked as the gateway plans it: all to all, or by way of relays.

 @example
 startNews({clock, nodes, load, untilMs: 44_000});
 */
export function startLoadUpdates({clock, nodes, load, untilMs}: LoadUpdatesOptions): void {
	const links = planLinks(nodes.map(({id}) => id));
	const syncs = new Map<string, NewsSync>();
	const isRelay = (node: string): boolean => (links.get(node)?.members.length ?? 0) > 0 || links.get(node)!.relays.length > 1;
	for (const {id, selector} of nodes) {
		const {relays, members} = links.get(id)!;
		syncs.set(id, createNewsSync({
			node: id,
			selector,
			countNodes: () => nodes.length,
			links: {
				isRelay, listRelays: () => relays, listMembers: () => members,
			},
			network: {
				isReady: () => true,
				notify(node, _method, news) {
					clock.add(load.linkMs, () => {
						syncs.get(node)?.applyNews(news, id);
					});
				},
			},
		}));
	}

	for (const [index, {id, setOnPlacement: setOnPlaced}] of nodes.entries()) {
		const news = syncs.get(id)!;
		// Nodes that start at different moments tell at different moments.
		clock.add(load.newsMs * index / syncs.size, () => {
			sendRepeatedly(clock, news, {pauseMs: load.newsMs, memberTurns: load.intervalsPerMemberUpdate, untilMs});
		});
		if (!isRelay(id)) {
			setOnPlaced(createPlacedTeller(clock, news));
		}
	}
}

type Turns = {
	readonly pauseMs: number;
	/**
	Turns of relays for each one of members.
	*/
	readonly memberTurns: number;
	readonly untilMs: number;
};

function sendRepeatedly(clock: EmulationClock, news: NewsSync, turns: Turns, turn = 0): void {
	news.send(turn % turns.memberTurns === 0);
	if (clock.now() < turns.untilMs) {
		clock.add(turns.pauseMs, () => {
			sendRepeatedly(clock, news, turns, turn + 1);
		});
	}
}

/**
A member tells its relay soon of what it has placed.
*/
function createPlacedTeller(clock: EmulationClock, news: NewsSync): () => void {
	let isDue = false;
	return () => {
		if (isDue) {
			return;
		}

		isDue = true;
		clock.add(placedMs, () => {
			isDue = false;
			news.send(false);
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
