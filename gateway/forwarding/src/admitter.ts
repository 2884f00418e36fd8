import type {Admission} from '@valvesaddle/admission';
import type {Selection} from '@valvesaddle/selection';

/**
Decides whether a request is sent, sent behind others, or refused.
*/
export type Admitter = {
	/**
	@param selection - The best endpoint ahead of what ranks lower.
	@param isTried - Whether the request was sent to an endpoint before.
	*/
	readonly decide: (selection: Pick<Selection, 'costMs' | 'readMs'>, isTried: boolean) => Admission;
};
