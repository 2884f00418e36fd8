import type {DemandRow} from './demand-row.ts';

/**
 Formats the key of a row within its pool.

 @example
 formatDemandKey({priority: 2, account: 'sawmill'}); // '2 sawmill'
 */
export function formatDemandKey({priority, account}: Pick<DemandRow, 'priority' | 'account'>): string {
	return `${priority} ${account}`;
}
