import type {DemandLink} from './demand-link.ts';
import type {DemandRow} from './demand-row.ts';
import {fitPoolDemands} from './fit-pool-demands.ts';
import {formatDemandKey} from './format-demand-key.ts';
import type {PoolDemand} from './pool-demand.ts';

/**
Rows that a linked node is told at once, some 2 kB. The largest accounts decide who gets what, and more than this many do not exceed
an equal share together.
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
	let toldAt = -Infinity;
	let askedAt = -Infinity;

	function listChanges({pool, contendedAgoMs, rows}: PoolDemand): PoolDemand {
		const before = told.get(pool) ?? new Map<string, DemandRow>();
		const keys = new Set(rows.map(row => formatDemandKey(row)));
		const gone = before.values().filter(row => !keys.has(formatDemandKey(row))).map(toEmptyRow);
		const changed = rows.filter(row => hasChanged(before.get(formatDemandKey(row)), row));
		told.set(pool, new Map([...before, ...changed.map(row => [formatDemandKey(row), row] as const)].filter(([key]) => keys.has(key))));
		return {pool, contendedAgoMs, rows: [...changed, ...gone].slice(0, 2 * maximumRows)};
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
			const wasTold = told.size > 0;
			told = new Map([...told].filter(([pool]) => pools.has(pool)));
			return !wasTold && demands.length === 0 ? undefined : fitPoolDemands(demands, maximumRows).map(demand => listChanges(demand));
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
