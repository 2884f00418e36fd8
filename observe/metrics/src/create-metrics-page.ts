import {Counter, Histogram, Registry} from 'prom-client';
import type {MetricsPage} from './metrics-page.ts';

/**
Upper bounds of a histogram's buckets, in milliseconds: from a call on the own network to the longest wait of a caller.
*/
const bucketsMs = [1, 2, 5, 10, 25, 50, 100, 150, 250, 500, 1000, 2000, 5000, 15_000];

/**
 Creates the page. A metric takes the tags of its first use as its labels.

 @example
 const page = createMetricsPage();
 page.increment('gateway.requests', 1, {});
 await page.format(); // '… valvesaddle_gateway_requests_total 1'
 */
export function createMetricsPage(): MetricsPage {
	const registry = new Registry();
	const counters = new Map<string, Counter>();
	const histograms = new Map<string, Histogram>();

	return {
		increment(name, by, tags) {
			let counter = counters.get(name);
			if (counter === undefined) {
				counter = new Counter({
					name: `${formatName(name)}_total`, help: name, labelNames: Object.keys(tags), registers: [registry],
				});
				counters.set(name, counter);
			}

			counter.inc(tags, by);
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
		format: async () => registry.metrics(),
	};
}

function formatName(name: string): string {
	return `valvesaddle_${name.replaceAll(/[^\da-z]/gv, '_')}`;
}
