import type {EmulatedStore} from './emulated-store.ts';
import type {LinkHub} from './link-hub.ts';
import type {PausedRuntime} from './paused-runtime.ts';
import type {PropagationTarget} from './propagation-target.ts';

/**
The parts of an emulation that faults act on.
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
	Terminates a process (`reset`) or its VM (`silence`).
	*/
	readonly endNode: (node: string, how: 'reset' | 'silence') => void;
	/**
	Starts a new process in place of a terminated one.
	*/
	readonly startReplacement: (node: string) => void;
	readonly setStateUnanswered: (node: string) => void;
};
