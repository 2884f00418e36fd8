/**
Class of an endpoint's answer by its status and headers:

- `stream`, `whole`: sent to the caller, as an event stream or as one body.
- `not-run`: the endpoint did not run the request, which may be sent to another one.
- `misdirected`: like `not-run`; another instance answers at the address.
- `run-failed`: the endpoint failed while it ran the request.
- `untrusted`: not verifiably the endpoint's answer to this request, which may have run.
*/
export type AnswerClass = 'stream' | 'whole' | 'not-run' | 'misdirected' | 'run-failed' | 'untrusted';
