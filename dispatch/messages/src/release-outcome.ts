/**
Outcome of a grant, used to track the endpoint's health.
*/
export type ReleaseOutcome = 'complete' | 'failed' | 'not-run' | 'cancelled';
