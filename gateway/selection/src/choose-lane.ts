import {rankByHash} from '@valvesaddle/ranking';
import type {Lanes} from './lanes.ts';

const laneKey = 'lane';

/**
 Parts the endpoints of a pool: long prompts delay every token beside them, so they keep to some endpoints. All nodes
 part alike. A pool of one endpoint is not parted.

 @example
 chooseLane(['i-1', 'i-2'], 1).long.size; // 1
 */
export function chooseLane(endpoints: readonly string[], longCount: number): Lanes {
	if (endpoints.length < 2) {
		const all = new Set(endpoints);
		return {long: all, short: all};
	}

	const ranked = rankByHash(laneKey, endpoints);
	return {long: new Set(ranked.slice(0, longCount)), short: new Set(ranked.slice(longCount))};
}
