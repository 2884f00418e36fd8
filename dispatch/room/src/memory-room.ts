/**
Predicted room for a request in an engine's memory.
*/
export type MemoryRoom = {
	/**
	Time until the request can run to its end without making the engine preempt others, in milliseconds; 0 if it fits now.
	*/
	readonly waitMs: number;
	/**
	Most tokens that the engine would hold if the request started now.
	*/
	readonly peakTokens: number;
	/**
	Part of them that exceeds the engine's memory: the engine would preempt requests that hold as much.
	*/
	readonly overflowTokens: number;
};
