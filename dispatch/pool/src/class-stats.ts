/**
Statistics of the request classes of a pool.
*/
export type ClassStats = {
	readonly recordArrival: (className: string) => void;
	/**
	Records how long a grant was held, in milliseconds.
	*/
	readonly recordHold: (className: string, holdMs: number) => void;
	/**
	Average time that a grant of the class is held, in milliseconds.
	*/
	readonly holdMs: (className: string) => number;
	/**
	Arrivals per second of one class.
	*/
	readonly arrivalsPerSecond: (className: string) => number;
	/**
	Updates the arrival rates with the arrivals since the last call.
	*/
	readonly tick: (elapsedMs: number) => void;
};
