export {createUsualSettings} from './create-usual-settings.ts';
export type {LinkTraits} from './link-traits.ts';
export {runSpreading} from './run-spreading.ts';
export type {SpreadingChange} from './spreading-change.ts';
export type {SpreadingFault} from './spreading-fault.ts';
export type {SpreadingLine} from './spreading-line.ts';
export type {SpreadingOptions} from './spreading-options.ts';
export type {SpreadingReport} from './spreading-report.ts';
export type {SpreadingTarget} from './spreading-target.ts';
