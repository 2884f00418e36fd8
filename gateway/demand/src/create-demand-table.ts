import {applyPoolDemands} from './apply-pool-demands.ts';
import {createDemandLink} from './create-demand-link.ts';
import {createDemandWindow} from './create-demand-window.ts';
import type {DemandLink} from './demand-link.ts';
import type {DemandOrigin} from './demand-origin.ts';
import type {DemandRow} from './demand-row.ts';
import type {DemandTable} from './demand-table.ts';
import type {DemandTableOptions} from './demand-table-options.ts';
import type {DemandUpdate} from './demand-update.ts';
import {mergeDemandRows} from './merge-demand-rows.ts';
import type {PoolDemand} from './pool-demand.ts';
import {restAccount} from './rest-account.ts';

/**
Time for which contention counts after it was last seen, in milliseconds. Nodes that see a few requests a second
meet it again within this time, if not each by itself then together; a shorter one would turn shares on and off at random.
*/
const contentionMs = 2000;
/**
Time after which the demand of a linked node that sends no load updates is dropped, in milliseconds: longer than updates are late,
shorter than the default window.
*/
const forgetMs = 3000;
/**
Pools that one linked node may tell.
*/
const maximumPools = 64;

/**
 Creates the table of demands. Nothing is told while no node sees contention.

 @example
 const table = createDemandTable({windowMs: 4000, countNodes: () => 72, isOutdated: () => false, logger});
 table.record('p', {priority: 1, account: 'sawmill', accounts: 1, askedTokens: 900, returnedTokens: 0, servedTokens: 0});
 */
export function createDemandTable({windowMs, countNodes, isOutdated, logger}: DemandTableOptions): DemandTable {
	const own = createDemandWindow(windowMs);
	const ownContendedAt = new Map<string, number>();
	const origins = new Map<string, DemandOrigin>();
	const links = new Map<string, DemandLink>();
	/**
	When a drop was last logged, by node and reason.
	*/
	const droppedAt = new Map<string, number>();
	let accounts: ReadonlySet<string> | undefined;

	function listOrigins(): readonly DemandOrigin[] {
		const now = performance.now();
		return origins.values().filter(({heardAt}) => now - heardAt <= forgetMs).toArray();
	}

	function findContendedAt(pool: string, told: readonly DemandOrigin[]): number {
		return Math.max(ownContendedAt.get(pool) ?? -Infinity, ...told.map(({pools}) => pools.get(pool)?.contendedAt ?? -Infinity));
	}

	function isContended(pool: string): boolean {
		return performance.now() - findContendedAt(pool, listOrigins()) <= contentionMs;
	}

	function readRows(pool: string, told: readonly DemandOrigin[]): PoolDemand['rows'] {
		return mergeDemandRows([...own.read(pool), ...told.flatMap(({pools}) => pools.get(pool)?.rows.values().toArray() ?? [])]);
	}

	/**
	The contended pools, with the demand of this node and the given linked ones. Only their own evidence of contention is told on, so
	that it is not passed around in a circle.
	*/
	function listDemands(told: readonly DemandOrigin[]): readonly PoolDemand[] {
		const pools = new Set([...ownContendedAt.keys(), ...listOrigins().flatMap(({pools: toldPools}) => toldPools.keys().toArray())]);
		return [...pools].filter(pool => isContended(pool)).slice(0, maximumPools).map(pool => {
			const agoMs = performance.now() - findContendedAt(pool, told);
			return {pool, contendedAgoMs: agoMs <= contentionMs ? agoMs : undefined, rows: readRows(pool, told)};
		});
	}

	function takeForLink(node: string, listTold: () => readonly DemandOrigin[]): readonly PoolDemand[] | undefined {
		const link = links.get(node) ?? createDemandLink(forgetMs / 2);
		links.set(node, link);
		return link.isDue() ? link.take(listDemands(listTold())) : undefined;
	}

	function recordDrop(peer: string, reason: string, rows: number): void {
		const key = `${peer} ${reason}`;
		const now = performance.now();
		if (rows === 0 || now - (droppedAt.get(key) ?? -Infinity) < windowMs) {
			return;
		}

		droppedAt.set(key, now);
		logger.warn({
			name: 'demand-dropped', peer, reason, rows,
		});
	}

	function listKnown({origin, demands}: DemandUpdate): readonly PoolDemand[] | undefined {
		const known = demands?.slice(0, maximumPools).map(demand => ({...demand, rows: demand.rows.filter(({account}) => isKnown(account))}));
		recordDrop(origin, 'too many pools', Math.max(0, (demands?.length ?? 0) - maximumPools));
		recordDrop(origin, 'unknown accounts', countRows(demands?.slice(0, maximumPools)) - countRows(known));
		return known;
	}

	function isKnown(account: string): boolean {
		return accounts === undefined || account === '' || account === restAccount || accounts.has(account);
	}

	return {
		record: own.record,
		markContended(pool) {
			for (const [other, at] of ownContendedAt) {
				if (performance.now() - at > contentionMs) {
					ownContendedAt.delete(other);
				}
			}

			ownContendedAt.set(pool, performance.now());
		},
		isContended,
		read(pool) {
			const told = listOrigins();
			const unseenFactor = Math.max(1, countNodes() / told.reduce((sum, {nodes}) => sum + nodes, 1));
			return {rows: readRows(pool, told).map(row => adjustRow(row, unseenFactor)), unseenFactor};
		},
		setAccounts(known) {
			accounts = known;
		},
		apply(update) {
			const {origin, nodes, isMember} = update;
			recordDrop(origin, 'unreadable', update.unreadable);
			if (isOutdated(origin)) {
				origins.delete(origin);
				recordDrop(origin, 'from a former process', countRows(update.demands));
				return;
			}

			const now = performance.now();
			const before = origins.get(origin);
			const current = before !== undefined && now - before.heardAt <= forgetMs ? before.pools : new Map();
			const demands = listKnown(update);
			origins.set(origin, {
				isMember, nodes, heardAt: now, pools: demands === undefined ? current : applyPoolDemands(current, demands, now),
			});
		},
		takeForRelay: relay => takeForLink(relay, () => listOrigins().filter(({isMember}) => isMember)),
		takeForMember: member => takeForLink(member, () => {
			const excluded = origins.get(member);
			return listOrigins().filter(origin => origin !== excluded);
		}),
		removeLink(node) {
			origins.delete(node);
			links.delete(node);
			for (const key of droppedAt.keys()) {
				if (key.startsWith(`${node} `)) {
					droppedAt.delete(key);
				}
			}
		},
		resetLink(node) {
			links.delete(node);
		},
	};
}

function adjustRow(row: DemandRow, factor: number): DemandRow {
	return {
		...row, askedTokens: row.askedTokens * factor, returnedTokens: row.returnedTokens * factor, servedTokens: row.servedTokens * factor,
	};
}

function countRows(demands: readonly PoolDemand[] | undefined): number {
	return demands?.reduce((sum, {rows}) => sum + rows.length, 0) ?? 0;
}
