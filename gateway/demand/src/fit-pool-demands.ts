import type {DemandRow} from './demand-row.ts';
import {mergeDemandRows} from './merge-demand-rows.ts';
import type {PoolDemand} from './pool-demand.ts';
import {restAccount} from './rest-account.ts';

type Entry = {readonly pool: string; readonly row: DemandRow};

/**
 Fits the demands of pools into a number of rows: the largest demands keep their rows, and the others are summed up in one row for
 each pool and priority. If there are more of these than rows, the smallest are left out.

 @example
 fitPoolDemands([{pool: 'p', contendedAgoMs: 0, rows}], 64)[0]?.rows.length; // 64
 */
export function fitPoolDemands(demands: readonly PoolDemand[], maximumRows: number): readonly PoolDemand[] {
	const entries = demands.flatMap(({pool, rows}) => rows.map((row): Entry => ({pool, row}))).toSorted(compareEntries);
	if (entries.length <= maximumRows) {
		return demands;
	}

	const groups = new Set(entries.map(({pool, row}) => `${row.priority} ${pool}`)).size;
	const kept = entries.slice(0, Math.max(0, maximumRows - groups));
	const rest = entries.slice(kept.length).map(({pool, row}): Entry => ({pool, row: {...row, account: restAccount}}));
	const merged = demands.flatMap(({pool}) => mergeDemandRows([...kept, ...rest].filter(entry => entry.pool === pool).map(({row}) => row)).map((row): Entry => ({pool, row})));
	const fitted = merged.toSorted(compareEntries).slice(0, maximumRows);
	return demands.map(({pool, contendedAgoMs}) => ({pool, contendedAgoMs, rows: fitted.filter(entry => entry.pool === pool).map(({row}) => row)}));
}

function compareEntries(a: Entry, b: Entry): number {
	return b.row.askedTokens - a.row.askedTokens;
}
