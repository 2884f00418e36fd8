/**
A clock that jumps from event to event.
*/
export type EmulationClock = {
	readonly now: () => number;
	/**
	Runs a handler so many milliseconds from now.
	*/
	readonly add: (milliseconds: number, handler: () => void) => void;
	/**
	Runs all events up to a time.
	*/
	readonly run: (untilMs: number) => void;
};
