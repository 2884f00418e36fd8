/**
What a process used so far.
*/
export type ProcessUsage = {
	/**
	Processor time, in milliseconds.
	*/
	readonly cpuMs: number;
	readonly residentBytes: number;
};
