import type {CrashCheck} from './crash-check.ts';

const allowedCrashes = 3;
/**
Time after the last allowed crash from which arrivals count, in milliseconds.
*/
const knownMs = 3000;

/**
 Creates the check of a request that crashes engines.

 @example
 const check = createCrashCheck();
 check.recordArrival();
 check.recordCrash();
 check.countLate(); // 0
 */
export function createCrashCheck(): CrashCheck {
	let crashes = 0;
	let late = 0;
	let knownAt = Infinity;

	return {
		recordArrival() {
			late += performance.now() > knownAt ? 1 : 0;
		},
		recordCrash() {
			crashes++;
			knownAt = crashes === allowedCrashes ? performance.now() + knownMs : knownAt;
		},
		countCrashes: () => crashes,
		countLate: () => late,
	};
}
