import type {LimitCheck} from './limit-check.ts';

/**
Bounds on the arrivals within a window, in milliseconds, as a factor on what the limit allows and a number of requests.
*/
const windowMs = 4000;
const allowedFactor = 1.5;
const allowedSlack = 5;
/**
Time after which the arrivals of a node count that was told, in milliseconds.
*/
const toldMs = 500;

/**
 Creates the check of the limit of one engine.

 @example
 const check = createLimitCheck();
 check.recordLimit('n-0', 3.2);
 check.recordArrival('n-0');
 check.countExcess(); // 0
 */
export function createLimitCheck(): LimitCheck {
	const toldAt = new Map<string, number>();
	let arrivals: number[] = [];
	let limit = Infinity;
	let excess = 0;

	return {
		recordLimit(node, perSecond) {
			limit = perSecond;
			toldAt.set(node, toldAt.get(node) ?? performance.now());
		},
		end() {
			toldAt.clear();
			arrivals = [];
		},
		recordArrival(node) {
			const now = performance.now();
			if (now - (toldAt.get(node) ?? Infinity) < toldMs) {
				return;
			}

			arrivals = [...arrivals.filter(at => now - at < windowMs), now];
			excess += arrivals.length > (allowedFactor * limit * windowMs / 1000) + allowedSlack ? 1 : 0;
		},
		countExcess: () => excess,
	};
}
