import type {RetryBudgetOptions} from '@valvesaddle/retry-budget';

/**
Size of the fleet's retry budget.
*/
export type RetryBudgetSettings = Pick<RetryBudgetOptions, 'ratio' | 'slack'>;
