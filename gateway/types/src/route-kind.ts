/**
Retry semantics of a route: `safe` requests may run more than once, `unsafe` ones at most once for each attempt of a caller;
a `stream` is answered with server-sent events.
*/
export type RouteKind = 'safe' | 'unsafe' | 'stream';
