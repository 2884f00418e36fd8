import type {Selection, SelectionCriteria} from '@valvesaddle/selection';

/**
Finds endpoints for the attempts of one request.
*/
export type Placer = {
	/**
	Best endpoint; `undefined` if there is none, or too many were tried.
	*/
	readonly choose: (criteria: SelectionCriteria) => Selection | undefined;
	/**
	Finds an endpoint for the next attempt, lets the request wait until one has room, or refuses it.

	@param isRetryMissing - Whether the retry budget allowed no retry, so that the request waits until it does.
	*/
	readonly place: (isRetryMissing: boolean) => void;
	/**
	Records that the request is sent to an endpoint.
	*/
	readonly markSent: (selection: Selection) => void;
	/**
	Whether an attempt that an endpoint refused since it is full may wait for another one.
	*/
	readonly canWait: () => boolean;
	/**
	Records that the last endpoint refused the request since it is full.
	*/
	readonly markFull: () => void;
	readonly countAttempts: () => number;
	/**
	Ends the wait.
	*/
	readonly end: () => void;
};
