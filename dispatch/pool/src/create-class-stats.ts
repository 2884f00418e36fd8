import {updateAverage} from '@valvesaddle/policy';
import type {ClassStats} from './class-stats.ts';

const defaultHoldMs = 5000;
const holdWeight = 0.1;
/**
Time constant of the arrival rate.
*/
const rateWindowMs = 10_000;

/**
 Creates the statistics of a pool's request classes.

 @example
 stats.recordHold('barrier', 900);
 stats.holdMs('barrier'); // 900
 */
export function createClassStats(): ClassStats {
	const holds = new Map<string, number>();
	const rates = new Map<string, number>();
	const arrivals = new Map<string, number>();

	return {
		recordArrival(className) {
			arrivals.set(className, (arrivals.get(className) ?? 0) + 1);
		},
		recordHold(className, holdMs) {
			holds.set(className, updateAverage(holds.get(className), holdMs, holdWeight));
		},
		holdMs: className => holds.get(className) ?? defaultHoldMs,
		arrivalsPerSecond: className => rates.get(className) ?? 0,
		tick(elapsedMs) {
			const weight = Math.min(1, elapsedMs / rateWindowMs);
			for (const className of new Set([...rates.keys(), ...arrivals.keys()])) {
				const perSecond = ((arrivals.get(className) ?? 0) * 1000) / Math.max(1, elapsedMs);
				rates.set(className, updateAverage(rates.get(className) ?? 0, perSecond, weight));
			}

			arrivals.clear();
		},
	};
}
