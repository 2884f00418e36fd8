import type {Admission, AdmissionInput} from '@valvesaddle/admission';
import type {Selection} from '@valvesaddle/selection';

/**
Decides whether a request is sent at its own urgency, sent at a lower one, held at the node, or refused.
*/
export type Admitter = {
	/**
	@param selection - The best endpoint at the request's own urgency.
	@param isTried - Whether the request was already sent to an endpoint.
	@param waiting - Where the request may wait, the room for it.
	*/
	readonly decide: (selection: Pick<Selection, 'costMs' | 'readMs'>, isTried: boolean, waiting?: Omit<NonNullable<AdmissionInput['waiting']>, 'planReturnMs'>) => Admission;
	/**
	Whether a request with this predicted time to its first token, in milliseconds, counts as in time.
	*/
	readonly isInTime: (costMs: number) => boolean;
	/**
	Whether the caller was refused before and has come back.
	*/
	readonly hasReturned: () => boolean;
	/**
	Time since the caller's first attempt, in milliseconds.
	*/
	readonly getElapsedMs: () => number;
};
