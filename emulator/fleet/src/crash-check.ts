/**
Checks that a request that crashes engines reaches no more of them once all nodes can know.
*/
export type CrashCheck = {
	readonly recordArrival: () => void;
	readonly recordCrash: () => void;
	readonly countCrashes: () => number;
	/**
	Number of arrivals long after the third crash.
	*/
	readonly countLate: () => number;
};
