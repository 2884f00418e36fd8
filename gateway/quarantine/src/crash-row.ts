/**
That an endpoint's process ended while it ran a request, by the request's digest and the endpoint's incarnation. `isCleared` once
the request has been answered elsewhere since; a cleared row stays cleared, so nodes can merge rows in any order.
*/
export type CrashRow = readonly [digest: string, endpoint: string, isCleared: boolean];
