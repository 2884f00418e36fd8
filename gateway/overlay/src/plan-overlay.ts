import type {GatewayNode} from '@valvesaddle/gateway-types';
import {rankByHash} from '@valvesaddle/ranking';
import type {Overlay} from './overlay.ts';

type Member = Pick<GatewayNode, 'id' | 'dataCentre' | 'capacity'>;

type PlanOptions = {
	/**
	Largest fleet in which every node is linked with every other.
	*/
	readonly meshNodes: number;
};

/**
When one relay is lost, its members can link to another in the same data centre.
*/
const minimumRelaysPerDataCentre = 2;
/**
Nodes that watch the store in a fleet with relays. Several, since the store may refuse or lose some of them.
*/
const followerCount = 4;
const rankKey = 'relay';
/**
Smallest capacity of a relay, as a share of the largest capacity in its data centre. A weaker one would get as many members as the
strongest, and serve them worse.
*/
const minimumCapacityShare = 0.5;

/**
 Plans the links of a fleet. A small fleet is a full mesh. In a larger one, about the square root of its nodes are relays, spread
 over the data centres, and every other node is linked to one relay. The links of a relay and the load updates it sends then grow
 only with the square root.

 @example
 planOverlay(nodes, {meshNodes: 16}).relays.size; // 8 of 64 nodes
 */
export function planOverlay(members: readonly Member[], {meshNodes}: PlanOptions): Overlay {
	if (members.length <= meshNodes) {
		const relays = new Map(members.map(({id, dataCentre}) => [id, dataCentre]));
		return {
			isMesh: true, relays, relativeCapacities: new Map(), followers: new Set(relays.keys()),
		};
	}

	const dataCentres = Map.groupBy(members, ({dataCentre}) => dataCentre);
	const relaysPerDataCentre = Math.max(minimumRelaysPerDataCentre, Math.round(Math.sqrt(members.length) / dataCentres.size));
	const ranked = [...dataCentres].toSorted(([a], [b]) => a.localeCompare(b)).map(([, group]) => pickRelays(rankMembers(group), relaysPerDataCentre));
	// The first relay of every data centre ranks before the second of any, so that the followers are spread.
	const relays = Array.from({length: relaysPerDataCentre}, (_, rank) => ranked.flatMap(group => group[rank] ?? [])).flat();
	return {
		isMesh: false,
		relays: new Map(relays.map(({id, dataCentre}) => [id, dataCentre])),
		relativeCapacities: new Map(ranked.flatMap(group => group.map(({id, capacity}) => [id, capacity / (group[0]?.capacity ?? capacity)] as const))),
		followers: new Set(relays.slice(0, followerCount).map(({id}) => id)),
	};
}

/**
The nodes of a data centre with the largest capacities, up to `maximumRelays`.
*/
function pickRelays(ranked: readonly Member[], maximumRelays: number): readonly Member[] {
	const minimumCapacity = (ranked[0]?.capacity ?? 0) * minimumCapacityShare;
	const eligible = ranked.filter(({capacity}) => capacity >= minimumCapacity);
	return ranked.slice(0, Math.min(maximumRelays, Math.max(minimumRelaysPerDataCentre, eligible.length)));
}

/**
By descending capacity; nodes of equal capacity by hash.
*/
function rankMembers(members: readonly Member[]): readonly Member[] {
	const byId = new Map(members.map(member => [member.id, member]));
	const ranked = rankByHash(rankKey, members.map(({id}) => id));
	return ranked.flatMap(id => byId.get(id) ?? []).toSorted((a, b) => b.capacity - a.capacity);
}
