import type {MetricTags} from './metric-tags.ts';

/**
Counters, gauges and timings of this process.
*/
export type Metrics = {
	readonly increment: (name: string, by?: number, tags?: MetricTags) => void;
	readonly gauge: (name: string, value: number, tags?: MetricTags) => void;
	/**
	Records a duration in milliseconds.
	*/
	readonly timing: (name: string, milliseconds: number, tags?: MetricTags) => void;
	/**
	Sum of a counter over all tags since the start.
	*/
	readonly total: (name: string) => number;
	/**
	Sums of all counters since the start, by name.
	*/
	readonly totals: () => Readonly<Record<string, number>>;
	readonly close: () => Promise<void>;
};
