import type {EmulatedStore} from './emulated-store.ts';
import type {LinkHub} from './link-hub.ts';
import type {PausedRuntime} from './paused-runtime.ts';
import type {PropagationTarget} from './propagation-target.ts';

/**
What faults need of an emulation.
*/
export type FaultContext = {
	readonly runtime: PausedRuntime;
	readonly random: () => number;
	readonly store: EmulatedStore;
	readonly hub: LinkHub;
	readonly listNodes: () => readonly string[];
	readonly listFollowers: () => readonly string[];
	readonly findTarget: (target: PropagationTarget) => string;
	/**
	Ends a process, or a machine.
	*/
	readonly endNode: (node: string, how: 'reset' | 'silence') => void;
	/**
	Starts a new process in the place of one that ended.
	*/
	readonly startReplacement: (node: string) => void;
	readonly setStateUnanswered: (node: string) => void;
};
