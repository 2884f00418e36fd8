/**
How a grant ended, as far as it tells about the endpoint.
*/
export type ReleaseOutcome = 'complete' | 'failed' | 'not-run' | 'cancelled';
