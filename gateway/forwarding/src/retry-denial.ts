/**
Why a failed attempt is not followed by another: the request may have run and is not repeatable, its route allows no further run,
the retry budget is spent, or no endpoint is left.
*/
export type RetryDenial = 'not-repeatable' | 'run-limit' | 'budget' | 'no-endpoint';
