import type {Sequence} from './sequence.ts';

/**
 Compares two requests by urgency, then by arrival.

 @example
 waiting.sort((a, b) => compareSequences(a, b));
 */
export function compareSequences(a: Sequence, b: Sequence): number {
	return a.job.urgency === b.job.urgency ? a.order - b.order : a.job.urgency - b.job.urgency;
}
