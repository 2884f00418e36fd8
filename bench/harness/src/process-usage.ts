/**
What a process used so far.
*/
export type ProcessUsage = {
	/**
	Processor time, in milliseconds.
	*/
	readonly cpuMs: number;
	readonly residentBytes: number;
	/**
	Resident memory that no file backs: what the process does not share with others of the same program.
	*/
	readonly privateBytes: number;
	/**
	Times that it waited and was woken up.
	*/
	readonly wakeUps: number;
};
