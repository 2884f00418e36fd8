import type {Outcome} from './outcome.ts';

/**
Outcome of a request that was just accepted.
*/
export const initialOutcome: Outcome = {state: 'accepted', ran: 'no'};
