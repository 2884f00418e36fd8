/**
 Whether a request reached an endpoint and may have had an effect there.

 - `no`: no byte of the request left the node, or the endpoint said so itself.
 - `maybe`: the request was sent and its end is unknown.
 - `yes`: an answer, whole or in part, came back.
 */
export type ExecutionStatus = 'no' | 'maybe' | 'yes';
