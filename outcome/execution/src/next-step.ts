/**
 Step after a failed attempt.

 - `retry`: another attempt that continues the answer.
 - `end`: the request fails.
 */
export type NextStep = 'retry' | 'end';
