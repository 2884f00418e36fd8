import {
	addLoads,
	noLoad,
	removeLoad,
	type EndpointLoad,
	type LoadUpdate,
	type Placement,
} from '@valvesaddle/selection';
import type {LoadAggregator} from './load-aggregator.ts';
import type {OriginLoadUpdate} from './origin-load-update.ts';

/**
Placements kept for a link. Older ones are dropped: they are only hints, and newer prompts supersede them.
*/
const maximumPlacementsPerLink = 64;
/**
Limits an update to about 12 kB, so that it doesn't delay more important messages on the link.
*/
const maximumLoadsPerUpdate = 200;

type Origin = {
	readonly isMember: boolean;
	readonly nodes: number;
	readonly loads: Map<string, EndpointLoad>;
};

type Link = {
	/**
	Endpoints to send, the longest waiting first.
	*/
	readonly changed: Set<string>;
	placements: readonly Placement[];
	/**
	Number of nodes in the sums, as last sent.
	*/
	nodes: number;
};

type Links = Map<string, Link>;

/**
 Creates the load aggregator of a node. Each linked node is sent sums instead of the loads of single nodes. Other relays get the
 sum over this node and its members, so traffic between data centres doesn't grow with the members. A member gets the sum over
 all nodes except itself, so its traffic doesn't grow with the fleet.

 @example
 const aggregator = createLoadAggregator({node: 'n1'});
 aggregator.addMember({origin: 'n7', nodes: 1, loads: [['i-7f', load]], placements: []});
 aggregator.takeForRelay('r2')?.nodes; // 2
 */
export function createLoadAggregator({node}: {readonly node: string}): LoadAggregator {
	const origins = new Map<string, Origin>([[node, {isMember: true, nodes: 1, loads: new Map()}]]);
	const relayLinks: Links = new Map();
	const memberLinks: Links = new Map();
	/**
	Cached sums over all origins, and over this node and its members. Deleted when one of their loads changes.
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

	function measureGroupTotal(endpoint: string): EndpointLoad {
		const total = groupTotals.get(endpoint) ?? addAllLoads(listMembers(), endpoint);
		groupTotals.set(endpoint, total);
		return total;
	}

	function markChanged(links: Links, endpoints: readonly string[], placements: readonly Placement[]): void {
		for (const link of links.values()) {
			link.placements = [...link.placements, ...placements].slice(-maximumPlacementsPerLink);
			for (const endpoint of endpoints) {
				link.changed.add(endpoint);
			}
		}
	}

	/**
	Marks the sums of these endpoints as changed: for members, and for relays when the load of the group changed.
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

	function addLoadUpdate(update: OriginLoadUpdate, isMember: boolean): void {
		const before = origins.get(update.origin);
		const loads = before?.loads ?? new Map<string, EndpointLoad>();
		origins.set(update.origin, {isMember, nodes: update.nodes, loads});
		for (const [endpoint, load] of update.loads) {
			loads.set(endpoint, load);
		}

		updateSums(update.loads.map(([endpoint]) => endpoint), update.placements, isMember);
		// A node that became a relay or a member leaves or joins the group with its whole load.
		if (before !== undefined && before.isMember !== isMember) {
			updateSums(loads.keys().toArray(), [], true);
		}
	}

	/**
	A new link is sent all endpoints of its sums. A node that changed between relay and member has old values of endpoints that are
	no longer in its sums: it is sent the endpoints of all origins, so that these are replaced.
	*/
	function openLink(linked: string, summed: readonly Origin[]): Link {
		const wasLinked = relayLinks.delete(linked) || memberLinks.delete(linked);
		const included = wasLinked ? listOrigins() : summed;
		return {changed: new Set(included.flatMap(({loads}) => loads.keys().toArray())), placements: [], nodes: 0};
	}

	function findLink(links: Links, linked: string, summed: readonly Origin[]): Link {
		const link = links.get(linked) ?? openLink(linked, summed);
		links.set(linked, link);
		return link;
	}

	function takeLoadUpdate(link: Link, nodes: number, measureLoad: (endpoint: string) => EndpointLoad): OriginLoadUpdate | undefined {
		if (link.changed.size === 0 && link.placements.length === 0 && link.nodes === nodes) {
			return undefined;
		}

		const endpoints = link.changed.values().take(maximumLoadsPerUpdate).toArray();
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
		addOwn(update: LoadUpdate) {
			addLoadUpdate({origin: node, nodes: 1, ...update}, true);
		},
		addMember(update) {
			addLoadUpdate(update, true);
		},
		addGroup(update) {
			addLoadUpdate(update, false);
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
			return takeLoadUpdate(findLink(relayLinks, relay, members), countNodes(members), measureGroupTotal);
		},
		takeForMember(member) {
			const own = origins.get(member);
			const summed = listOrigins();
			return takeLoadUpdate(findLink(memberLinks, member, summed), countNodes(summed) - (own?.nodes ?? 0), endpoint => removeLoad(measureTotal(endpoint), own?.loads.get(endpoint) ?? noLoad));
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
