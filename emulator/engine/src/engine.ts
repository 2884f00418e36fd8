import type {EngineJob} from './engine-job.ts';
import type {LeftRequest} from './left-request.ts';

/**
An emulated engine. Its owner runs the steps.
*/
export type Engine = {
	readonly add: (job: EngineJob) => void;
	/**
	Removes a request whose caller has disconnected. The second argument is told what it would have become.
	*/
	readonly remove: (id: string, request?: LeftRequest) => void;
	/**
	Starts a step and returns its duration in milliseconds, or `undefined` without requests.
	*/
	readonly startStep: () => number | undefined;
	/**
	Ends the step: adds its output tokens and sends events.
	*/
	readonly endStep: () => void;
	/**
	Removes all requests and the cache, without calling back.
	*/
	readonly drop: () => void;
	/**
	Multiplies the times of later steps.
	*/
	readonly setSlowness: (factor: number) => void;
	/**
	Prompt tokens prefilled, those of shared parts that some engine of the pool had prefilled before, and preemptions.
	*/
	readonly counts: () => {readonly prefilledTokens: number; readonly recomputedTokens: number; readonly preempted: number};
};
