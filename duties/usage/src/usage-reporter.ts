/**
Reports of usage, window after window.
*/
export type UsageReporter = {
	/**
	Sends what is due at that time, in Unix milliseconds; one call at a time.
	*/
	readonly update: (now: number) => Promise<void>;
	/**
	Begins anew with the windows that may not have been sent: another node held the duty before.
	*/
	readonly start: (now: number) => void;
};
