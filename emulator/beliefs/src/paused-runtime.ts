/**
A paused clock and seeded random numbers for the process.
*/
export type PausedRuntime = {
	/**
	Time since the start, in milliseconds.
	*/
	readonly now: () => number;
	/**
	Schedules a handler at a time after the start, in milliseconds.
	*/
	readonly add: (atMs: number, handler: () => void) => void;
	/**
	Runs all timers up to a time after the start, in milliseconds, including those that they add.
	*/
	readonly advance: (untilMs: number) => Promise<void>;
	/**
	Restores the clock and the random numbers.
	*/
	readonly close: () => void;
};
