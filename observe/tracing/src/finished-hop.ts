/**
A finished span, as kept in memory.
*/
export type FinishedHop = {
	readonly name: string;
	readonly traceId: string;
	readonly spanId: string;
	readonly parentSpanId: string | undefined;
	readonly durationMs: number;
};
