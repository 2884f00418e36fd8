/**
Why a failed attempt is not followed by another: the request may have run and is not repeatable, its route allows no further run,
the retry budget is spent, no endpoint is left, or endpoints crashed while they ran the request.
*/
export type RetryDenial = 'not-repeatable' | 'run-limit' | 'budget' | 'no-endpoint' | 'quarantined';
