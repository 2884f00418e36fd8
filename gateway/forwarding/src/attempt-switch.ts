import type {Selection} from '@valvesaddle/selection';

/**
Runs the attempts of one request, one after the other.
*/
export type AttemptSwitch = {
	/**
	Starts an attempt when none is open.
	*/
	readonly start: (selection: Selection) => void;
	/**
	Starts an attempt that takes the place of the open one once its endpoint has accepted the request. If that endpoint fails first,
	or the open attempt makes progress, the request stays where it was.

	@param selection - The new attempt's endpoint.
	@param end - Outcome of the attempt that is replaced.
	*/
	readonly replace: (selection: Selection, end: 'failed' | 'cancelled') => void;
	/**
	Ends all attempts; no event follows.
	*/
	readonly end: (outcome: 'failed' | 'cancelled') => void;
};
