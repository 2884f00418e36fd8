import {
	addLoads,
	noLoad,
	removeLoad,
	type EndpointLoad,
	type LoadNews,
	type Placement,
} from '@valvesaddle/selection';
import type {LoadAggregator} from './load-aggregator.ts';
import type {OriginLoadUpdate} from './origin-load-update.ts';

/**
Placements that are kept for a link; older ones are hints that prompts since then have overtaken.
*/
const mostPlacements = 64;
/**
Endpoints that one message tells of, so that what is more important never waits for a long one: some 12 kB.
*/
const mostLoads = 200;

type Origin = {
	readonly isMember: boolean;
	readonly nodes: number;
	readonly loads: Map<string, EndpointLoad>;
};

type Link = {
	/**
	Endpoints to be told of, the longest waiting first.
	*/
	readonly changed: Set<string>;
	placements: readonly Placement[];
	/**
	Nodes that it was told the sum stands for.
	*/
	nodes: number;
};

type Links = Map<string, Link>;

/**
 Creates the relay of a node's news. Each linked node gets one sum for all others: relays that of the node and its members, so
 that what crosses data centres does not grow with the members; a member that of all nodes but itself, so that what it hears
 does not grow with the fleet.

 @example
 const relay = createNewsRelay({node: 'n1'});
 relay.addMember({origin: 'n7', nodes: 1, loads: [['i-7f', load]], placements: []});
 relay.takeForRelay('r2')?.nodes; // 2
 */
export function createLoadAggregator({node}: {readonly node: string}): LoadAggregator {
	const origins = new Map<string, Origin>([[node, {isMember: true, nodes: 1, loads: new Map()}]]);
	const relayLinks: Links = new Map();
	const memberLinks: Links = new Map();
	/**
	Sums over all origins, and over this node and its members, until one of their parts changes.
	*/
	const totals = new Map<string, EndpointLoad>();
	const groupTotals = new Map<string, EndpointLoad>();

	function listOrigins(): readonly Origin[] {
		return origins.values().toArray();
	}

	function listMembers(): readonly Origin[] {
		return listOrigins().filter(({isMember}) => isMember);
	}

	function measureTotal(endpoint: string): EndpointLoad {
		const total = totals.get(endpoint) ?? addAllLoads(listOrigins(), endpoint);
		totals.set(endpoint, total);
		return total;
	}

	function measureGroup(endpoint: string): EndpointLoad {
		const total = groupTotals.get(endpoint) ?? addAllLoads(listMembers(), endpoint);
		groupTotals.set(endpoint, total);
		return total;
	}

	function markChanged(links: Links, endpoints: readonly string[], placements: readonly Placement[]): void {
		for (const link of links.values()) {
			link.placements = [...link.placements, ...placements].slice(-mostPlacements);
			for (const endpoint of endpoints) {
				link.changed.add(endpoint);
			}
		}
	}

	/**
	Sums that these endpoints are part of are told anew: to members, and to relays where the group's own work is concerned.
	*/
	function updateSums(endpoints: readonly string[], placements: readonly Placement[], isOfGroup: boolean): void {
		for (const endpoint of endpoints) {
			totals.delete(endpoint);
			groupTotals.delete(endpoint);
		}

		markChanged(memberLinks, endpoints, placements);
		if (isOfGroup) {
			markChanged(relayLinks, endpoints, placements);
		}
	}

	function addNews(news: OriginLoadUpdate, isMember: boolean): void {
		const before = origins.get(news.origin);
		const loads = before?.loads ?? new Map<string, EndpointLoad>();
		origins.set(news.origin, {isMember, nodes: news.nodes, loads});
		for (const [endpoint, load] of news.loads) {
			loads.set(endpoint, load);
		}

		updateSums(news.loads.map(([endpoint]) => endpoint), news.placements, isMember);
		// A node that has become a relay, or a member, enters or leaves the group with all its work.
		if (before !== undefined && before.isMember !== isMember) {
			updateSums(loads.keys().toArray(), [], true);
		}
	}

	/**
	A link's first news tell all. One that was told as a member or a relay before has heard of endpoints that are not part of its
	sums any more.
	*/
	function openLink(linked: string, known: readonly Origin[]): Link {
		const wasLinked = relayLinks.delete(linked) || memberLinks.delete(linked);
		const told = wasLinked ? listOrigins() : known;
		return {changed: new Set(told.flatMap(({loads}) => loads.keys().toArray())), placements: [], nodes: 0};
	}

	function findLink(links: Links, linked: string, known: readonly Origin[]): Link {
		const link = links.get(linked) ?? openLink(linked, known);
		links.set(linked, link);
		return link;
	}

	function takeNews(link: Link, nodes: number, measureLoad: (endpoint: string) => EndpointLoad): OriginLoadUpdate | undefined {
		if (link.changed.size === 0 && link.placements.length === 0 && link.nodes === nodes) {
			return undefined;
		}

		const endpoints = link.changed.values().take(mostLoads).toArray();
		const {placements} = link;
		for (const endpoint of endpoints) {
			link.changed.delete(endpoint);
		}

		link.placements = [];
		link.nodes = nodes;
		return {
			origin: node, nodes, loads: endpoints.map(endpoint => [endpoint, measureLoad(endpoint)]), placements,
		};
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

			updateSums(removed.loads.keys().toArray(), [], removed.isMember);
		},
		removeEndpoint(endpoint) {
			totals.delete(endpoint);
			groupTotals.delete(endpoint);
			for (const {loads} of origins.values()) {
				loads.delete(endpoint);
			}

			for (const link of [...relayLinks.values(), ...memberLinks.values()]) {
				link.changed.delete(endpoint);
				link.placements = link.placements.filter(placement => placement.endpoint !== endpoint);
			}
		},
		takeForRelay(relay) {
			const members = listMembers();
			return takeNews(findLink(relayLinks, relay, members), countNodes(members), measureGroup);
		},
		takeForMember(member) {
			const own = origins.get(member);
			const known = listOrigins();
			return takeNews(findLink(memberLinks, member, known), countNodes(known) - (own?.nodes ?? 0), endpoint => removeLoad(measureTotal(endpoint), own?.loads.get(endpoint) ?? noLoad));
		},
		removeLink(linked) {
			relayLinks.delete(linked);
			memberLinks.delete(linked);
		},
	};
}

function countNodes(origins: readonly Origin[]): number {
	return origins.reduce((sum, {nodes}) => sum + nodes, 0);
}

function addAllLoads(origins: readonly Origin[], endpoint: string): EndpointLoad {
	let sum = noLoad;
	for (const {loads} of origins) {
		sum = addLoads(sum, loads.get(endpoint) ?? noLoad);
	}

	return sum;
}
