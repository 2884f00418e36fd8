/**
Learned figures of the classes of a pool.
*/
export type ClassStats = {
	readonly recordArrival: (className: string) => void;
	/**
	Records how long a grant was held, in milliseconds.
	*/
	readonly recordHold: (className: string, holdMs: number) => void;
	readonly holdMs: (className: string) => number;
	/**
	Arrivals per second of one class.
	*/
	readonly arrivalsPerSecond: (className: string) => number;
	/**
	Folds the arrivals since the last call into the rates.
	*/
	readonly tick: (elapsedMs: number) => void;
};
