export {createUsageCounters} from './create-usage-counters.ts';
export {createUsageReporter} from './create-usage-reporter.ts';
export type {UsageCounters} from './usage-counters.ts';
export type {UsageReporter} from './usage-reporter.ts';
export type {UsageReporterOptions} from './usage-reporter-options.ts';
export type {UsageRow} from './usage-row.ts';
