/**
Work at an endpoint without names, in the order of the fields of `EndpointLoad`.
*/
type LoadRow = readonly [endpoint: string, open: number, unread: readonly number[], sensitivity: number, witnesses: number, silent: number, readTokens: number, readMs: number];
type PlacementRow = readonly [endpoint: string, pool: string, parts: readonly string[], tokens: number];

/**
News of work as nodes send them to each other.
*/
export type LoadUpdateMessage = {
	readonly nodes: number;
	readonly loads: readonly LoadRow[];
	readonly placements: readonly PlacementRow[];
};
