import type {StartedProcess} from './started-process.ts';

/**
A router node as a process of its own.
*/
export type BenchNode = {
	readonly id: string;
	readonly process: StartedProcess;
	readonly callers: string;
	readonly operators: string;
	readonly peers: string;
};
