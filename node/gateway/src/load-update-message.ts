/**
Load of an endpoint without field names, in the order of the fields of `EndpointLoad`. Optional fields that are 0 are left out.
*/
type LoadRow = readonly [
	endpoint: string, open: number, pendingPrefill: readonly number[], sensitivity: number, observers: number, stalledObservers: number,
	prefilledTokens: number, prefillMs: number, memoryTokens?: number, protectedStreams?: number,
];
/**
Evidence of the endpoint in the load row at this index, in the order of the fields of `EndpointEvidence`.
*/
type EvidenceRow = readonly [index: number, answers: number, failures: number, timedAnswers: number, serviceMs: number];
type PlacementRow = readonly [endpoint: string, pool: string, parts: readonly string[], tokens: number];

/**
Demand for a pool, in the order of the fields of `PoolDemand`; -1 if none of its nodes saw contention.
*/
type PoolDemandRow = readonly [pool: string, contendedAgoMs: number, rows: readonly DemandRow[]];
type DemandRow = readonly [priority: number, account: string, accounts: number, askedTokens: number, returnedTokens: number, servedTokens: number];

/**
Load update as nodes send it to each other.
*/
export type LoadUpdateMessage = {
	readonly nodes: number;
	readonly loads: readonly LoadRow[];
	readonly placements: readonly PlacementRow[];
	/**
	Left out if there is none. Earlier versions ignore it.
	*/
	readonly evidence?: readonly EvidenceRow[];
	/**
	All pools whose demands are told; missing without news of them.
	*/
	readonly demands?: readonly PoolDemandRow[];
};
