import type {Outcome} from './outcome.ts';

/**
Outcome of a newly accepted request.
*/
export const initialOutcome: Outcome = {state: 'accepted', ran: 'no'};
