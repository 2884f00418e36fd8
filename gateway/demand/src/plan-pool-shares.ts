import {planClassShares, planShares} from '@valvesaddle/shares';
import type {AccountShare} from './account-share.ts';
import type {DemandRow} from './demand-row.ts';
import {formatDemandKey} from './format-demand-key.ts';
import {restAccount} from './rest-account.ts';

/**
Guarantee of every class but the most urgent: a twentieth of what that one leaves, so that no class starves behind more urgent ones.
*/
const classFloor = 0.05;

type PlanPoolSharesOptions = {
	readonly rows: readonly DemandRow[];
	/**
	Weights of accounts; one that is missing has the weight 1.
	*/
	readonly weights: ReadonlyMap<string, number>;
	/**
	Tokens that the pool serves within the window.
	*/
	readonly capacityTokens: number;
	/**
	Priorities whose requests have lately met a wait for others.
	*/
	readonly waiting: ReadonlySet<number>;
};

/**
 Divides what a pool serves over route priorities, the most urgent first, and over the accounts of each by weighted max-min fairness.

 @returns The share of each row, by its key.
 @example
 planPoolShares({rows, weights: new Map(), capacityTokens: 90_000, waiting: new Set()}).get('2 sawmill')?.shareTokens; // 4000
 */
export function planPoolShares({rows, weights, capacityTokens, waiting}: PlanPoolSharesOptions): ReadonlyMap<string, AccountShare> {
	const byPriority = Map.groupBy(rows, ({priority}) => priority);
	const classes = [...byPriority].map(([priority, classRows]) => ({
		name: String(priority), demand: classRows.reduce((sum, {askedTokens}) => sum + askedTokens, 0), weight: 1, tier: priority, isUrgent: priority === 0, floor: classFloor,
	}));
	const classShares = planClassShares({classes, capacity: capacityTokens});
	const lowestCrowded = Math.max(-Infinity, ...byPriority.entries()
		.filter(([priority, classRows]) => waiting.has(priority) && addServed(classRows) < (classShares.get(String(priority)) ?? 0))
		.map(([priority]) => priority));
	const shares = new Map<string, AccountShare>();
	for (const [priority, classRows] of byPriority) {
		const accountShares = planShares({
			demands: classRows.map(({account, accounts, askedTokens}) => ({
				name: account, demand: askedTokens, weight: account === restAccount ? accounts : weights.get(account) ?? 1,
			})),
			capacity: classShares.get(String(priority)) ?? 0,
		});
		for (const row of classRows) {
			shares.set(formatDemandKey(row), {
				shareTokens: accountShares.get(row.account) ?? 0, askedTokens: row.askedTokens, returnedTokens: row.returnedTokens, isCrowding: priority < lowestCrowded,
			});
		}
	}

	return shares;
}

function addServed(rows: readonly DemandRow[]): number {
	return rows.reduce((sum, {servedTokens}) => sum + servedTokens, 0);
}
