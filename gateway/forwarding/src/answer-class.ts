/**
What the head of an answer means for the request:
`stream` and `whole` are to be passed on, `not-run` may be tried elsewhere, `misdirected` too since another instance has taken
over the address, `run-failed` is an endpoint's own failure after
it ran, and `untrusted` says nothing that holds.
*/
export type AnswerClass = 'stream' | 'whole' | 'not-run' | 'misdirected' | 'run-failed' | 'untrusted';
