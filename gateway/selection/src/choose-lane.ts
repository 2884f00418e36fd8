import type {Lanes} from './lanes.ts';
import {rankByHash} from './rank-by-hash.ts';

const laneKey = 'lane';

/**
 Parts the endpoints of a pool: long prompts delay every token beside them, so they keep to some endpoints. All nodes
 part alike. A pool of one endpoint is not parted.

 @example
 chooseLane(['i-1', 'i-2'], 0.55).long.size; // 1
 */
export function chooseLane(endpoints: readonly string[], longShare: number): Lanes {
	if (endpoints.length < 2) {
		const all = new Set(endpoints);
		return {long: all, short: all};
	}

	const count = Math.min(endpoints.length - 1, Math.max(1, Math.round(longShare * endpoints.length)));
	const ranked = rankByHash(laneKey, endpoints);
	return {long: new Set(ranked.slice(0, count)), short: new Set(ranked.slice(count))};
}
