import type {LeftRequest} from './left-request.ts';
import type {Sequence} from './sequence.ts';
import type {Step} from './step.ts';

/**
Requests that were removed from an engine, played on beside it. They cost the engine nothing.
*/
export type LeftRequests = {
	readonly add: (sequence: Sequence, isRunning: boolean, request: LeftRequest) => void;
	/**
	Advances all requests by a step that the engine has ended.
	*/
	readonly advance: (step: Step) => void;
	/**
	Ends all requests: the engine has no others, so that each has it for itself.
	*/
	readonly end: (slowness: number) => void;
	/**
	Drops all requests without calling back.
	*/
	readonly clear: () => void;
};
