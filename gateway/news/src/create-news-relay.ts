import {
	addLoads,
	noLoad,
	type EndpointLoad,
	type LoadNews,
	type Placement,
} from '@valvesaddle/selection';
import type {NewsRelay} from './news-relay.ts';
import type {OriginNews} from './origin-news.ts';

type Origin = {
	readonly isMember: boolean;
	readonly nodes: number;
	readonly loads: Map<string, EndpointLoad>;
};

type Pending = {
	readonly nodes: number;
	readonly loads: ReadonlyMap<string, EndpointLoad>;
	readonly placements: readonly Placement[];
};

/**
 Creates the relay of a node's news. Other relays get one sum for the node and its members, so that what crosses data centres
 does not grow with the members; members get the sums of other relays, and each other's news as it came.

 @example
 const relay = createNewsRelay({node: 'n1'});
 relay.addMember({origin: 'n7', nodes: 1, loads: [['i-7f', load]], placements: []});
 relay.takeForRelays()?.nodes; // 2
 */
export function createNewsRelay({node}: {readonly node: string}): NewsRelay {
	const origins = new Map<string, Origin>([[node, {isMember: true, nodes: 1, loads: new Map()}]]);
	const changed = new Set<string>();
	let placements: Placement[] = [];
	let pending = new Map<string, Pending>();

	function listMembers(): readonly Origin[] {
		return origins.values().filter(({isMember}) => isMember).toArray();
	}

	function measureLoad(endpoint: string): EndpointLoad {
		let sum = noLoad;
		for (const {loads} of listMembers()) {
			sum = addLoads(sum, loads.get(endpoint) ?? noLoad);
		}

		return sum;
	}

	function toGroupNews(endpoints: Iterable<string>, newPlacements: readonly Placement[]): OriginNews {
		return {
			origin: node, nodes: listMembers().length, loads: [...endpoints].map(endpoint => [endpoint, measureLoad(endpoint)]), placements: newPlacements,
		};
	}

	function addPending({origin, nodes, loads, placements: added}: OriginNews): void {
		const before = pending.get(origin);
		pending.set(origin, {
			nodes, loads: new Map([...before?.loads ?? [], ...loads]), placements: [...before?.placements ?? [], ...added],
		});
	}

	function addNews(news: OriginNews, isMember: boolean): void {
		const loads = origins.get(news.origin)?.loads ?? new Map<string, EndpointLoad>();
		origins.set(news.origin, {isMember, nodes: news.nodes, loads});
		for (const [endpoint, load] of news.loads) {
			loads.set(endpoint, load);
			if (isMember) {
				changed.add(endpoint);
			}
		}

		if (isMember) {
			placements.push(...news.placements);
		}

		addPending(news);
	}

	return {
		addOwn(news: LoadNews) {
			addNews({origin: node, nodes: 1, ...news}, true);
		},
		addMember(news) {
			addNews(news, true);
		},
		addGroup(news) {
			addNews(news, false);
		},
		removeOrigin(origin) {
			const removed = origins.get(origin);
			if (removed === undefined || !origins.delete(origin)) {
				return;
			}

			pending.set(origin, {nodes: 0, loads: new Map(), placements: []});
			for (const endpoint of removed.isMember ? removed.loads.keys() : []) {
				changed.add(endpoint);
			}
		},
		takeForRelays() {
			if (changed.size === 0 && placements.length === 0) {
				return undefined;
			}

			const news = toGroupNews(changed, placements);
			changed.clear();
			placements = [];
			return news;
		},
		takeForMembers() {
			const news = toList(pending);
			pending = new Map();
			return news;
		},
		listForRelay: () => toGroupNews(new Set(listMembers().flatMap(({loads}) => loads.keys().toArray())), []),
		listForMember: () => toList(new Map(origins.entries().map(([origin, {nodes, loads}]) => [origin, {nodes, loads, placements: []}]))),
	};
}

function toList(news: ReadonlyMap<string, Pending>): readonly OriginNews[] {
	return news.entries().map(([origin, {nodes, loads, placements}]) => ({
		origin, nodes, loads: loads.entries().toArray(), placements,
	})).toArray();
}
