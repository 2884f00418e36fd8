import {
	addLoads,
	noLoad,
	type EndpointLoad,
	type LoadNews,
	type Placement,
} from '@valvesaddle/selection';
import {createPendingNews} from './create-pending-news.ts';
import type {NewsRelay} from './news-relay.ts';
import type {OriginNews} from './origin-news.ts';
import type {PendingNews} from './pending-news.ts';

/**
Placements that are kept for another relay; older ones are hints that prompts since then have overtaken.
*/
const mostPlacements = 256;

type Origin = {
	readonly isMember: boolean;
	readonly nodes: number;
	readonly loads: Map<string, EndpointLoad>;
};

type RelayLink = {
	readonly changed: Set<string>;
	placements: readonly Placement[];
};

/**
 Creates the relay of a node's news. Other relays get one sum for the node and its members, so that what crosses data centres
 does not grow with the members; members get the sums of other relays, and each other's news as it came.

 @example
 const relay = createNewsRelay({node: 'n1'});
 relay.addMember({origin: 'n7', nodes: 1, loads: [['i-7f', load]], placements: []});
 relay.takeForRelay('r2')?.nodes; // 2
 */
export function createNewsRelay({node}: {readonly node: string}): NewsRelay {
	const origins = new Map<string, Origin>([[node, {isMember: true, nodes: 1, loads: new Map()}]]);
	const relayLinks = new Map<string, RelayLink>();
	const memberLinks = new Map<string, PendingNews>();

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

	function addForRelays(endpoints: Iterable<string>, placements: readonly Placement[]): void {
		const added = [...endpoints];
		for (const link of relayLinks.values()) {
			link.placements = [...link.placements, ...placements].slice(-mostPlacements);
			for (const endpoint of added) {
				link.changed.add(endpoint);
			}
		}
	}

	function addNews(news: OriginNews, isMember: boolean): void {
		const loads = origins.get(news.origin)?.loads ?? new Map<string, EndpointLoad>();
		origins.set(news.origin, {isMember, nodes: news.nodes, loads});
		for (const [endpoint, load] of news.loads) {
			loads.set(endpoint, load);
		}

		if (isMember) {
			addForRelays(news.loads.map(([endpoint]) => endpoint), news.placements);
		}

		for (const pending of memberLinks.values()) {
			pending.add(news);
		}
	}

	function openRelayLink(relay: string): RelayLink {
		const link: RelayLink = {changed: new Set(listMembers().flatMap(({loads}) => loads.keys().toArray())), placements: []};
		relayLinks.set(relay, link);
		return link;
	}

	function openMemberLink(member: string): PendingNews {
		const pending = createPendingNews();
		for (const [origin, {nodes, loads}] of origins) {
			pending.add({
				origin, nodes, loads: loads.entries().toArray(), placements: [],
			});
		}

		memberLinks.set(member, pending);
		return pending;
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

			addForRelays(removed.isMember ? removed.loads.keys() : [], []);
			for (const pending of memberLinks.values()) {
				pending.removeOrigin(origin);
			}
		},
		takeForRelay(relay) {
			const isNew = !relayLinks.has(relay);
			const link = relayLinks.get(relay) ?? openRelayLink(relay);
			if (!isNew && link.changed.size === 0 && link.placements.length === 0) {
				return undefined;
			}

			const news = toGroupNews(link.changed, link.placements);
			link.changed.clear();
			link.placements = [];
			return news;
		},
		takeForMember(member) {
			const pending = memberLinks.get(member) ?? openMemberLink(member);
			return pending.take();
		},
		removeLink(linked) {
			relayLinks.delete(linked);
			memberLinks.delete(linked);
		},
	};
}
