import {rankByHash} from '@valvesaddle/ranking';
import type {Overlay} from './overlay.ts';

/**
Shares of the strongest relay of a data centre: fine enough for one of an eighth of its strength.
*/
const sharesOfStrongest = 8;

type ParentQuestion = {
	readonly node: string;
	readonly dataCentre: string;
	/**
	Relays that could not be reached of late.
	*/
	readonly suspects: ReadonlySet<string>;
};

/**
 Chooses the relay that a node is linked to: near if it can be, and not the same for all nodes of a data centre.
 `undefined` for a relay, and while none can be reached.

 @example
 chooseParent(overlay, {node: 'n9', dataCentre: 'smolyan', suspects: new Set()});
 */
export function chooseParent({relays, relativeCapacities: strengths}: Overlay, {node, dataCentre, suspects}: ParentQuestion): string | undefined {
	if (relays.has(node)) {
		return undefined;
	}

	const shares = new Map(relays.keys().filter(id => !suspects.has(id)).flatMap(id => listShares(id, strengths.get(id) ?? 1)));
	const ranked = rankByHash(node, shares.keys().toArray()).flatMap(share => shares.get(share) ?? []);
	return ranked.find(id => relays.get(id) === dataCentre) ?? ranked[0];
}

/**
A relay takes part in the ranking once for each share of its strength, so that a weaker one gets fewer members.
*/
function listShares(id: string, strength: number): ReadonlyArray<readonly [share: string, id: string]> {
	const count = Math.max(1, Math.round(sharesOfStrongest * strength));
	return Array.from({length: count}, (_value, index) => [`${id} ${index}`, id] as const);
}
