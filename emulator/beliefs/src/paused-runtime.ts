/**
The runtime's clock, paused, and its random numbers, seeded.
*/
export type PausedRuntime = {
	/**
	Milliseconds since the start.
	*/
	readonly now: () => number;
	/**
	Runs a handler at a time after the start.
	*/
	readonly add: (atMs: number, handler: () => void) => void;
	/**
	Runs all that is due up to a time, and what follows from it.
	*/
	readonly advance: (untilMs: number) => Promise<void>;
	/**
	Gives the runtime back as it was.
	*/
	readonly close: () => void;
};
