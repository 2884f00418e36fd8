import type {NodeThread} from './node-thread.ts';

/**
The threads of all emulated nodes.
*/
export type NodeThreads = {
	readonly create: () => NodeThread;
	/**
	Restores the timers of the process.
	*/
	readonly exit: () => void;
};
