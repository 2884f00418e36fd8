export type {ClassSummary} from './class-summary.ts';
export type {LoadAccount} from './load-account.ts';
export type {LoadClass} from './load-class.ts';
export type {LoadPlan} from './load-plan.ts';
export type {LoadResult} from './load-result.ts';
export type {LoadSummary} from './load-summary.ts';
export {runLoad} from './run-load.ts';
export {summarizeLoad} from './summarize-load.ts';
