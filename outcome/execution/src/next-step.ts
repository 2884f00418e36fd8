/**
 What follows on a failed attempt.

 - `retry`: another endpoint, from where the answer ended.
 - `end`: the request is given up.
 */
export type NextStep = 'retry' | 'end';
