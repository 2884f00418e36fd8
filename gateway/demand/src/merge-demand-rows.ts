import type {DemandRow} from './demand-row.ts';
import {formatDemandKey} from './format-demand-key.ts';
import {restAccount} from './rest-account.ts';

/**
 Sums up rows of one pool by priority and account.

 @example
 mergeDemandRows([row, row])[0]?.askedTokens; // 2 * row.askedTokens
 */
export function mergeDemandRows(rows: Iterable<DemandRow>): readonly DemandRow[] {
	const sums = new Map<string, DemandRow>();
	for (const row of rows) {
		const key = formatDemandKey(row);
		const sum = sums.get(key);
		sums.set(key, sum === undefined ? row : addRows(sum, row));
	}

	return sums.values().toArray();
}

function addRows(a: DemandRow, b: DemandRow): DemandRow {
	return {
		priority: a.priority,
		account: a.account,
		accounts: a.account === restAccount ? a.accounts + b.accounts : 1,
		askedTokens: a.askedTokens + b.askedTokens,
		returnedTokens: a.returnedTokens + b.returnedTokens,
		servedTokens: a.servedTokens + b.servedTokens,
	};
}
