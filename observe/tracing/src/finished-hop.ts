/**
A finished span of the `memory` exporter.
*/
export type FinishedHop = {
	readonly name: string;
	readonly traceId: string;
	readonly spanId: string;
	readonly parentSpanId: string | undefined;
	readonly durationMs: number;
};
