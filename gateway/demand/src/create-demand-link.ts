import type {DemandLink} from './demand-link.ts';
import type {DemandRow} from './demand-row.ts';
import {fitPoolDemands} from './fit-pool-demands.ts';
import {formatDemandKey} from './format-demand-key.ts';
import type {PoolDemand} from './pool-demand.ts';

/**
Rows that a linked node is told at once, some 2 kB. The largest accounts decide who gets what; the others are summed up.
*/
const maximumRows = 64;
/**
Time between two tellings, in milliseconds: an eighth of the default window, so that demands are late by about a part of it.
*/
const tellMs = 500;
/**
Share of a value by which it must change to be told again.
*/
const changeShare = 0.1;

/**
 Creates the record of what a linked node was told.

 @param forgetMs - Time without an update, in milliseconds, after which the node may have forgotten all and is told everything again.
 @example
 const link = createDemandLink(1500);
 link.isDue() && link.take(demands);
 */
export function createDemandLink(forgetMs: number): DemandLink {
	/**
	Rows as last told, by key, by pool.
	*/
	let told = new Map<string, Map<string, DemandRow>>();
	/**
	Whether the node may still count demands that it was told.
	*/
	let hasTold = false;
	let toldAt = -Infinity;
	let askedAt = -Infinity;

	/**
	What is beyond the limit is told the next time.
	*/
	function listChanges({pool, contendedAgoMs, rows}: PoolDemand, limit: number): PoolDemand {
		const before = told.get(pool) ?? new Map<string, DemandRow>();
		const keys = new Set(rows.map(row => formatDemandKey(row)));
		const gone = before.values().filter(row => !keys.has(formatDemandKey(row))).map(row => toEmptyRow(row));
		const changed = rows.filter(row => hasChanged(before.get(formatDemandKey(row)), row));
		const changes = [...changed, ...gone].slice(0, limit);
		for (const row of changes) {
			before.set(formatDemandKey(row), row);
			if (!keys.has(formatDemandKey(row))) {
				before.delete(formatDemandKey(row));
			}
		}

		told.set(pool, before);
		return {pool, contendedAgoMs, rows: changes};
	}

	return {
		isDue() {
			const now = performance.now();
			if (now - askedAt > forgetMs) {
				told.clear();
			}

			askedAt = now;
			return now - toldAt >= tellMs;
		},
		take(demands) {
			toldAt = performance.now();
			const pools = new Set(demands.map(({pool}) => pool));
			told = new Map([...told].filter(([pool]) => pools.has(pool)));
			if (!hasTold && demands.length === 0) {
				return undefined;
			}

			hasTold = demands.length > 0;
			let left = maximumRows;
			return fitPoolDemands(demands, maximumRows).map(demand => {
				const changes = listChanges(demand, left);
				left -= changes.rows.length;
				return changes;
			});
		},
	};
}

function toEmptyRow(row: DemandRow): DemandRow {
	return {
		...row, askedTokens: 0, returnedTokens: 0, servedTokens: 0,
	};
}

function hasChanged(before: DemandRow | undefined, after: DemandRow): boolean {
	return before === undefined || isFar(before.askedTokens, after.askedTokens) || isFar(before.returnedTokens, after.returnedTokens)
		|| isFar(before.servedTokens, after.servedTokens) || before.accounts !== after.accounts;
}

function isFar(before: number, after: number): boolean {
	return Math.abs(after - before) > changeShare * before;
}
