/**
What is written to the store, in milliseconds after the start: a new configuration, an endpoint that reports that it drains,
or an endpoint whose entry is removed.
*/
export type PropagationChange =
	| {readonly kind: 'configuration'; readonly atMs: number}
	| {readonly kind: 'endpoint-draining' | 'endpoint-removed'; readonly atMs: number; readonly endpoint: number};
