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
Relays in a data centre at least, so that the loss of one leaves another near.
*/
const leastRelays = 2;
/**
Nodes that follow the store in a fleet with relays: enough that the store refuses or loses some of them without harm.
*/
const followerCount = 4;
const rankKey = 'relay';
/**
Part of the capacity of its data centre's strongest node that a relay has at least: a weaker one would get as many members as the
strongest, and carry them worse than it can.
*/
const leastCapacityPart = 0.5;

/**
 Plans the links of a fleet. A small one is a full mesh. In a larger one the square root of its nodes are relays, spread over
 the data centres, so that the links of a relay and of the fleet's news grow with the square root only; every other node
 is linked to one relay.

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

	const centres = Map.groupBy(members, ({dataCentre}) => dataCentre);
	const perCentre = Math.max(leastRelays, Math.round(Math.sqrt(members.length) / centres.size));
	const ranked = [...centres].toSorted(([a], [b]) => a.localeCompare(b)).map(([, group]) => pickRelays(rankMembers(group), perCentre));
	// The first of every data centre come before the second of any.
	const relays = Array.from({length: perCentre}, (_, rank) => ranked.flatMap(group => group[rank] ?? [])).flat();
	return {
		isMesh: false,
		relays: new Map(relays.map(({id, dataCentre}) => [id, dataCentre])),
		relativeCapacities: new Map(ranked.flatMap(group => group.map(({id, capacity}) => [id, capacity / (group[0]?.capacity ?? capacity)] as const))),
		followers: new Set(relays.slice(0, followerCount).map(({id}) => id)),
	};
}

/**
The strongest of a data centre, so many at most.
*/
function pickRelays(ranked: readonly Member[], most: number): readonly Member[] {
	const least = (ranked[0]?.capacity ?? 0) * leastCapacityPart;
	const strong = ranked.filter(({capacity}) => capacity >= least);
	return ranked.slice(0, Math.min(most, Math.max(leastRelays, strong.length)));
}

/**
The strongest first; equal ones in an order by hash.
*/
function rankMembers(members: readonly Member[]): readonly Member[] {
	const byId = new Map(members.map(member => [member.id, member]));
	const ranked = rankByHash(rankKey, members.map(({id}) => id));
	return ranked.flatMap(id => byId.get(id) ?? []).toSorted((a, b) => b.capacity - a.capacity);
}
