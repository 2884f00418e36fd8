import type {RouteTarget} from '@valvesaddle/gateway-types';

/**
 Picks a target by weight; `draw` is a number from 0 up to 1.

 @example
 pickTarget([{pool: 'a', weight: 90}, {pool: 'b', weight: 10}], 0.95)?.pool; // 'b'
 */
export function pickTarget(targets: readonly RouteTarget[], draw: number): RouteTarget | undefined {
	let left = draw * targets.reduce((sum, {weight}) => sum + weight, 0);
	for (const target of targets) {
		left -= target.weight;
		if (left < 0) {
			return target;
		}
	}

	return targets.findLast(({weight}) => weight > 0);
}
