import type {EngineJob} from './engine-job.ts';

/**
An emulated engine. The caller's loop decides when its steps begin.
*/
export type Engine = {
	readonly add: (job: EngineJob) => void;
	/**
	Drops a request whose caller has left.
	*/
	readonly remove: (id: string) => void;
	/**
	Begins a step and tells how long it takes, in milliseconds; `undefined` when there is nothing to do.
	*/
	readonly startStep: () => number | undefined;
	/**
	Ends the step that was begun: tokens and events come out.
	*/
	readonly endStep: () => void;
	/**
	Loses all requests and all memory without a word.
	*/
	readonly drop: () => void;
	/**
	Multiplies all times from here on.
	*/
	readonly setSlowness: (factor: number) => void;
	/**
	Shared tokens that were read again after they had been kept, and all tokens read.
	*/
	readonly counts: () => {readonly prefilledTokens: number; readonly recomputedTokens: number; readonly preempted: number};
};
