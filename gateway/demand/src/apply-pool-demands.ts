import type {DemandOrigin} from './demand-origin.ts';
import {formatDemandKey} from './format-demand-key.ts';
import type {PoolDemand} from './pool-demand.ts';

/**
Rows kept of a pool that one linked node tells: twice as many as it may tell at once.
*/
const maximumRows = 128;

/**
 Applies told changes to the demand that a linked node told before. Pools that it no longer tells are forgotten, as are rows without
 demand.

 @param before - Its demand before, by pool.
 @param demands - What it tells now.
 @param now - Time on the monotonic clock, in milliseconds.
 @example
 applyPoolDemands(new Map(), [{pool: 'p', contendedAgoMs: 40, rows: []}], 1000).get('p')?.contendedAt; // 960
 */
export function applyPoolDemands(before: DemandOrigin['pools'], demands: readonly PoolDemand[], now: number): DemandOrigin['pools'] {
	return new Map(demands.map(({pool, contendedAgoMs, rows}) => {
		const kept = new Map(before.get(pool)?.rows);
		for (const row of rows) {
			const key = formatDemandKey(row);
			kept.delete(key);
			if (row.askedTokens + row.servedTokens > 0) {
				kept.set(key, row);
			}
		}

		const newest = [...kept].slice(-maximumRows);
		return [pool, {contendedAt: contendedAgoMs === undefined ? -Infinity : now - contendedAgoMs, rows: new Map(newest)}];
	}));
}
