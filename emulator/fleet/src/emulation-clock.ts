/**
A clock that advances from event to event. Times are in milliseconds.
*/
export type EmulationClock = {
	readonly now: () => number;
	/**
	Runs a handler after a delay.
	*/
	readonly add: (milliseconds: number, handler: () => void) => void;
	/**
	Runs all events up to a time.
	*/
	readonly run: (untilMs: number) => void;
};
