/**
Checks that all nodes together respect the limit that an engine names.
*/
export type LimitCheck = {
	/**
	Records that a node was told the limit.
	*/
	readonly recordLimit: (node: string, perSecond: number) => void;
	/**
	The engine names its limit no longer.
	*/
	readonly end: () => void;
	readonly recordArrival: (node: string) => void;
	/**
	Number of arrivals beyond what the limit allows.
	*/
	readonly countExcess: () => number;
};
