import type {Admission} from '@valvesaddle/admission';

/**
The decision on one request: whether it is within its account's share, and what to do with it.
*/
export type ShareDecision = {
	readonly isWithinShare: boolean;
	readonly admission: Admission;
};
