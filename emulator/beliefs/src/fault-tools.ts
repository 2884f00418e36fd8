import type {EmulatedStore} from './emulated-store.ts';
import type {LinkHub} from './link-hub.ts';
import type {PausedRuntime} from './paused-runtime.ts';
import type {SpreadingTarget} from './spreading-target.ts';

/**
What faults need of an emulation.
*/
export type FaultTools = {
	readonly runtime: PausedRuntime;
	readonly random: () => number;
	readonly store: EmulatedStore;
	readonly hub: LinkHub;
	readonly listNodes: () => readonly string[];
	readonly listFollowers: () => readonly string[];
	readonly findTarget: (target: SpreadingTarget) => string;
	/**
	Ends a process, or a machine.
	*/
	readonly endNode: (node: string, how: 'reset' | 'silence') => void;
	/**
	Starts a new process in the place of one that ended.
	*/
	readonly startAgain: (node: string) => void;
	readonly setStateUnanswered: (node: string) => void;
};
