import {Counter, Histogram, Registry} from 'prom-client';
import type {MetricTags} from './metric-tags.ts';
import type {MetricsPage} from './metrics-page.ts';

/**
Upper bounds of a histogram's buckets, in milliseconds: from a call in the local network to the longest timeout of a caller.
*/
const bucketsMs = [1, 2, 5, 10, 25, 50, 100, 150, 250, 500, 1000, 2000, 5000, 15_000];

type Sum = {
	readonly tags: MetricTags;
	value: number;
};

/**
 Creates a page in the Prometheus text format. The tags of the first use of a metric define its labels.

 @example
 const page = createMetricsPage();
 page.increment('gateway.requests', 1, {});
 await page.format(); // '… valvesaddle_gateway_requests_total 1'
 */
export function createMetricsPage(): MetricsPage {
	const registry = new Registry();
	const counters = new Map<string, Counter>();
	const histograms = new Map<string, Histogram>();

	/**
	Sums by name and tags. They are added to the counters only when the page is read, because counters are incremented often.
	*/
	const sums = new Map<string, Map<string, Sum>>();

	function updateCounters(): void {
		for (const [name, byTags] of sums) {
			for (const {tags, value} of byTags.values()) {
				const counter = counters.get(name) ?? new Counter({
					name: `${formatName(name)}_total`, help: name, labelNames: Object.keys(tags), registers: [registry],
				});
				counters.set(name, counter);
				counter.inc(tags, value);
			}

			byTags.clear();
		}
	}

	return {
		increment(name, by, tags) {
			const key = Object.values(tags).join('\n');
			const byTags = sums.get(name) ?? new Map<string, Sum>();
			sums.set(name, byTags);
			const sum = byTags.get(key);
			if (sum === undefined) {
				byTags.set(key, {tags, value: by});
			} else {
				sum.value += by;
			}
		},
		observe(name, milliseconds, tags) {
			let histogram = histograms.get(name);
			if (histogram === undefined) {
				histogram = new Histogram({
					name: `${formatName(name)}_ms`, help: `${name}, milliseconds`, labelNames: Object.keys(tags), buckets: bucketsMs, registers: [registry],
				});
				histograms.set(name, histogram);
			}

			histogram.observe(tags, milliseconds);
		},
		async format() {
			updateCounters();
			return registry.metrics();
		},
	};
}

function formatName(name: string): string {
	return `valvesaddle_${name.replaceAll(/[^\da-z]/gv, '_')}`;
}
