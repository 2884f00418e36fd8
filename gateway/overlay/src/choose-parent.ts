import {rankByHash} from '@valvesaddle/ranking';
import type {Overlay} from './overlay.ts';

/**
Entries in the ranking of a relay whose relative capacity is 1.
*/
const maximumVirtualRelays = 8;

type ParentRequest = {
	readonly node: string;
	readonly dataCentre: string;
	/**
	Relays that were unreachable recently.
	*/
	readonly suspects: ReadonlySet<string>;
};

/**
 Chooses the relay that a node is linked to by weighted rendezvous hashing, in the node's data centre if one there is reachable.
 `undefined` for a relay, and while no relay is reachable.

 @example
 chooseParent(overlay, {node: 'n9', dataCentre: 'smolyan', suspects: new Set()});
 */
export function chooseParent({relays, relativeCapacities}: Overlay, {node, dataCentre, suspects}: ParentRequest): string | undefined {
	if (relays.has(node)) {
		return undefined;
	}

	const virtualRelays = new Map(relays.keys().filter(id => !suspects.has(id)).flatMap(id => listVirtualRelays(id, relativeCapacities.get(id) ?? 1)));
	const ranked = rankByHash(node, virtualRelays.keys().toArray()).flatMap(virtualRelay => virtualRelays.get(virtualRelay) ?? []);
	return ranked.find(id => relays.get(id) === dataCentre) ?? ranked[0];
}

/**
Entries of a relay in the ranking, in proportion to its relative capacity, so that a smaller relay gets fewer members.
*/
function listVirtualRelays(id: string, relativeCapacity: number): ReadonlyArray<readonly [virtualRelay: string, id: string]> {
	const count = Math.max(1, Math.round(maximumVirtualRelays * relativeCapacity));
	return Array.from({length: count}, (_value, index) => [`${id} ${index}`, id] as const);
}
