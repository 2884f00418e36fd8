/**
Options of `createTracing`.
*/
export type TracingOptions = {
	readonly node: string;
	/**
	`otlp` sends spans to `url`; `memory` keeps them for `status` and tests; `none` creates no spans.
	*/
	readonly exporter: 'none' | 'memory' | 'otlp';
	/**
	OTLP/HTTP address of a collector.
	*/
	readonly url?: string | undefined;
	/**
	Sampling ratio of traces that start at this node, 0 to 1.
	*/
	readonly ratio: number;
};
