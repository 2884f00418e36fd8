/**
 Whether an endpoint ran a request, which may then have had an effect.

 - `no`: the request was not sent, or the endpoint reported that it did not run it.
 - `maybe`: the request was sent and its outcome is unknown.
 - `yes`: a complete or partial answer was received.
 */
export type ExecutionStatus = 'no' | 'maybe' | 'yes';
