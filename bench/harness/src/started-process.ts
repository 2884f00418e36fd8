import type {ChildProcess} from 'node:child_process';

/**
A process that a measurement started.
*/
export type StartedProcess = {
	readonly pid: number;
	readonly child: ChildProcess;
	/**
	First line that it printed.
	*/
	readonly firstLine: string;
	/**
	Ends it at once and waits until it is gone.
	*/
	readonly kill: () => Promise<void>;
};
