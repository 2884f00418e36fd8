/**
Load of an endpoint without field names, in the order of the fields of `EndpointLoad`.
*/
type LoadRow = readonly [
	endpoint: string, open: number, pendingPrefill: readonly number[], sensitivity: number, observers: number, stalledObservers: number,
	prefilledTokens: number, prefillMs: number, evidence?: EvidenceRow,
];
/**
Fields of `EndpointEvidence` in their order; left out if there is none.
*/
type EvidenceRow = readonly [answers: number, failures: number, timedAnswers: number, serviceMs: number];
type PlacementRow = readonly [endpoint: string, pool: string, parts: readonly string[], tokens: number];

/**
Load update as nodes send it to each other.
*/
export type LoadUpdateMessage = {
	readonly nodes: number;
	readonly loads: readonly LoadRow[];
	readonly placements: readonly PlacementRow[];
};
