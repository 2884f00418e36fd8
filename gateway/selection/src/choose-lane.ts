import {rankByHash} from '@valvesaddle/ranking';
import type {Lanes} from './lanes.ts';

const laneKey = 'lane';

/**
 Parts the endpoints of a pool: long prompts delay every token beside them, so they keep to some endpoints, the slow ones
 first, since pauses within short streams are to be the shorter ones. All nodes part alike. A pool of one endpoint is not
 parted.

 @example
 chooseLane(['i-1', 'i-2'], 1, new Set(['i-2'])).long; // {'i-2'}
 */
export function chooseLane(endpoints: readonly string[], longCount: number, slow: ReadonlySet<string>): Lanes {
	if (endpoints.length < 2) {
		const all = new Set(endpoints);
		return {long: all, short: all};
	}

	const byHash = rankByHash(laneKey, endpoints);
	const ranked = [...byHash.filter(id => slow.has(id)), ...byHash.filter(id => !slow.has(id))];
	return {long: new Set(ranked.slice(0, longCount)), short: new Set(ranked.slice(longCount))};
}
