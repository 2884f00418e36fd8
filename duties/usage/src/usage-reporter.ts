/**
Sends a usage report for each window.
*/
export type UsageReporter = {
	/**
	Sends the reports that are due at the given time, in Unix milliseconds; calls must not overlap.
	*/
	readonly update: (now: number) => Promise<void>;
	/**
	Goes back to the windows that the previous holder may not have sent; called when this node acquires the duty.
	*/
	readonly start: (now: number) => void;
};
