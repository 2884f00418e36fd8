import type {MetricTags} from './metric-tags.ts';

/**
Counters and histograms in the Prometheus text format, served at the node's metrics address.
*/
export type MetricsPage = {
	readonly increment: (name: string, by: number, tags: MetricTags) => void;
	/**
	Records a duration in milliseconds.
	*/
	readonly observe: (name: string, milliseconds: number, tags: MetricTags) => void;
	readonly format: () => Promise<string>;
};
