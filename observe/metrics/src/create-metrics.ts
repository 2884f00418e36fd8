import {StatsD} from 'hot-shots';
import type {Metrics} from './metrics.ts';
import type {MetricsOptions} from './metrics-options.ts';

const bufferBytes = 1400;
const flushMs = 1000;

/**
 Creates the metrics of a process. They are sent as StatsD datagrams; counters are also summed for status and tests.

 @example
 const metrics = createMetrics({host: '127.0.0.1', port: 8125, node: 'a1'});
 metrics.increment('requests.accepted', 1, {class: 'barrier'});
 */
export function createMetrics(options: MetricsOptions = {}): Metrics {
	const sums = new Map<string, number>();
	const client = options.host === undefined
		? undefined
		: new StatsD({
			host: options.host,
			port: options.port ?? 8125,
			prefix: 'valvesaddle.',
			globalTags: {node: options.node ?? ''},
			maxBufferSize: bufferBytes,
			bufferFlushInterval: flushMs,
			errorHandler() {
				sums.set('metrics.failures', (sums.get('metrics.failures') ?? 0) + 1);
			},
		});

	return {
		increment(name, by = 1, tags = {}) {
			sums.set(name, (sums.get(name) ?? 0) + by);
			client?.increment(name, by, tags);
			options.page?.increment(name, by, tags);
		},
		gauge(name, value, tags = {}) {
			client?.gauge(name, value, tags);
		},
		timing(name, milliseconds, tags = {}) {
			client?.timing(name, milliseconds, tags);
			options.page?.observe(name, milliseconds, tags);
		},
		total: name => sums.get(name) ?? 0,
		totals: () => Object.fromEntries(sums),
		async close() {
			if (client === undefined) {
				return;
			}

			const {promise, resolve} = Promise.withResolvers<void>();
			client.close(() => {
				resolve();
			});
			await promise;
		},
	};
}
