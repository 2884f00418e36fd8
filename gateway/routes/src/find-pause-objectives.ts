import type {Route} from '@valvesaddle/gateway-types';

/**
 Finds the shortest pause objective of each pool's routes, in milliseconds. Pools without one are left out.

 @example
 findPauseObjectives([{...route, pauseObjectiveMs: 150, targets: [{pool: 'drafting', weight: 1}]}]).get('drafting'); // 150
 */
export function findPauseObjectives(routes: readonly Route[]): ReadonlyMap<string, number> {
	const objectives = new Map<string, number>();
	for (const {pauseObjectiveMs, targets} of routes) {
		for (const {pool} of pauseObjectiveMs > 0 ? targets : []) {
			objectives.set(pool, Math.min(pauseObjectiveMs, objectives.get(pool) ?? Infinity));
		}
	}

	return objectives;
}
