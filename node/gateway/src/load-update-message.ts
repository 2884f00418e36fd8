/**
Load of an endpoint without field names, in the order of the fields of `EndpointLoad`. Memory of 0 is left out.
*/
type BaseRow = readonly [
	endpoint: string, open: number, pendingPrefill: readonly number[], sensitivity: number, observers: number, stalledObservers: number,
	prefilledTokens: number, prefillMs: number,
];
type LoadRow = BaseRow | readonly [...base: BaseRow, memoryTokens: number];
type PlacementRow = readonly [endpoint: string, pool: string, parts: readonly string[], tokens: number];

/**
Load update as nodes send it to each other.
*/
export type LoadUpdateMessage = {
	readonly nodes: number;
	readonly loads: readonly LoadRow[];
	readonly placements: readonly PlacementRow[];
};
