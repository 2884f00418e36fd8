export {createMetricsPage} from './create-metrics-page.ts';
export {createMetrics} from './create-metrics.ts';
export type {Metrics} from './metrics.ts';
export type {MetricsOptions} from './metrics-options.ts';
export type {MetricTags} from './metric-tags.ts';
export type {MetricsPage} from './metrics-page.ts';
