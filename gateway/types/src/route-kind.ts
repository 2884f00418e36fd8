/**
What may be repeated: `safe` requests may run more than once, `unsafe` ones at most once for each attempt of a caller;
a `stream` is answered by a series of events.
*/
export type RouteKind = 'safe' | 'unsafe' | 'stream';
