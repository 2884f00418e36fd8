export {createRetryBudget} from './create-retry-budget.ts';
export type {RetryBudget} from './retry-budget.ts';
export type {RetryBudgetOptions} from './retry-budget-options.ts';
export type {RetryNeed} from './retry-need.ts';
export type {RetryUsage} from './retry-usage.ts';
