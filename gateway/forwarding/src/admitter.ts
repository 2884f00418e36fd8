import type {Admission} from '@valvesaddle/admission';
import type {Selection} from '@valvesaddle/selection';

/**
Decides whether a request is sent at its own urgency, sent at a lower one, or refused.
*/
export type Admitter = {
	/**
	@param selection - The best endpoint at the request's own urgency.
	@param isTried - Whether the request was already sent to an endpoint.
	*/
	readonly decide: (selection: Pick<Selection, 'costMs' | 'readMs'>, isTried: boolean) => Admission;
};
