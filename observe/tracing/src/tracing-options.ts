/**
Options of `createTracing`.
*/
export type TracingOptions = {
	readonly node: string;
	/**
	`otlp` sends spans to `url`; `memory` keeps the last ones for `status` and tests; `none` makes none.
	*/
	readonly exporter: 'none' | 'memory' | 'otlp';
	/**
	OTLP/HTTP address of a collector.
	*/
	readonly url?: string | undefined;
	/**
	Part of the traces that start here which are kept, 0 to 1.
	*/
	readonly ratio: number;
};
