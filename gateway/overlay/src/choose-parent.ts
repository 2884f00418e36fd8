import {rankByHash} from '@valvesaddle/ranking';
import type {Overlay} from './overlay.ts';

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
export function chooseParent({relays}: Overlay, {node, dataCentre, suspects}: ParentQuestion): string | undefined {
	if (relays.has(node)) {
		return undefined;
	}

	const ranked = rankByHash(node, relays.keys().filter(id => !suspects.has(id)).toArray());
	return ranked.find(id => relays.get(id) === dataCentre) ?? ranked[0];
}
