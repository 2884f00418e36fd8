/**
Load of an endpoint without field names, in the order of the fields of `EndpointLoad`. Optional fields that are 0 are left out.
*/
type LoadRow = readonly [
	endpoint: string, open: number, pendingPrefill: readonly number[], sensitivity: number, observers: number, stalledObservers: number,
	prefilledTokens: number, prefillMs: number, memoryTokens?: number, protectedStreams?: number,
];
type PlacementRow = readonly [endpoint: string, pool: string, parts: readonly string[], tokens: number];

/**
Load update as nodes send it to each other.
*/
export type LoadUpdateMessage = {
	readonly nodes: number;
	readonly loads: readonly LoadRow[];
	readonly placements: readonly PlacementRow[];
};
