import type {Interruption} from './interruption.ts';

/**
A request that is being forwarded.
*/
export type ForwardTask = {
	/**
	Aborts the request, since its caller has disconnected.
	*/
	readonly cancel: () => void;
	/**
	Ends the request although it could go on: it is refused, or its answer is ended incomplete.
	*/
	readonly fail: (interruption: Interruption) => void;
};
