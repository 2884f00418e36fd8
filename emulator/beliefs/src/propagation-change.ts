/**
A change to write to the store: a new configuration, an endpoint that starts draining, or an endpoint that is removed. Times
are in milliseconds after the start.
*/
export type PropagationChange =
	| {readonly kind: 'configuration'; readonly atMs: number}
	| {readonly kind: 'endpoint-draining' | 'endpoint-removed'; readonly atMs: number; readonly endpoint: number};
