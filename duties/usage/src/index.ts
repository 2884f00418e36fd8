export {createUsageBook} from './create-usage-book.ts';
export {createUsageReporter} from './create-usage-reporter.ts';
export type {UsageBook} from './usage-book.ts';
export type {UsageReporter} from './usage-reporter.ts';
export type {UsageReporterOptions} from './usage-reporter-options.ts';
export type {UsageRow} from './usage-row.ts';
