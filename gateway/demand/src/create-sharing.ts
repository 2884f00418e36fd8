import type {Admission} from '@valvesaddle/admission';
import type {AccountShare} from './account-share.ts';
import {decideShare} from './decide-share.ts';
import {formatDemandKey} from './format-demand-key.ts';
import {measureWorkTokens} from './measure-work-tokens.ts';
import {planPoolShares} from './plan-pool-shares.ts';
import {roomShare} from './room-share.ts';
import type {ShareRequest} from './share-request.ts';
import type {Sharing} from './sharing.ts';
import type {SharingOptions} from './sharing-options.ts';

/**
Part of what a contended pool serves that is shared out. The rest drains what waits already, which would make each request late that
joins it; it is lost to nobody, since beyond the shares all are admitted while the pool has room.
*/
const sharedPart = 0.9;
/**
Time for which the shares of a pool are used before they are planned again, in milliseconds; demand is told less often.
*/
const planMs = 200;
/**
Time for which a class counts as waiting after one of its requests met a wait, in milliseconds: long enough for a node to see another
request of the class, and short, since the classes before it are held back meanwhile.
*/
const waitingMs = 2000;

type Plan = {
	readonly at: number;
	readonly shares: ReadonlyMap<string, AccountShare>;
	readonly capacityTokens: number;
	readonly unseenFactor: number;
};

/**
 Creates the shares of pools at a node. A contended pool serves what it can, so what it has served within the window is its capacity.
 This is divided over route priorities and accounts by what they ask.

 @example
 const sharing = createSharing({table, windowMs: 4000, logger, metrics});
 sharing.recordAsked(request);
 sharing.decide(request, {costMs: 900, readMs: 50, objectiveMs: 600}, {kind: 'send'}).kind; // 'send'
 */
export function createSharing({table, windowMs, logger, metrics, drawNumber = Math.random}: SharingOptions): Sharing {
	const startedAt = performance.now();
	const plans = new Map<string, Plan>();
	/**
	When requests of this node last met a wait for others, by priority, by pool.
	*/
	const waitedAt = new Map<string, Map<number, number>>();
	let weights: ReadonlyMap<string, number> = new Map();

	function markWaited({pool, priority}: ShareRequest): void {
		const priorities = waitedAt.get(pool) ?? new Map<number, number>();
		priorities.set(priority, performance.now());
		waitedAt.set(pool, priorities);
		table.markContended(pool);
	}

	function listWaiting(pool: string): ReadonlySet<number> {
		const now = performance.now();
		return new Set([...waitedAt.get(pool) ?? []].filter(([, at]) => now - at < waitingMs).map(([priority]) => priority));
	}

	function getPlan(pool: string): Plan {
		const before = plans.get(pool);
		const now = performance.now();
		if (before !== undefined && now - before.at < planMs) {
			return before;
		}

		const {rows, unseenFactor} = table.read(pool);
		const capacityTokens = sharedPart * rows.reduce((sum, {servedTokens}) => sum + servedTokens, 0);
		const plan: Plan = {
			at: now, shares: planPoolShares({
				rows, weights, capacityTokens, waiting: listWaiting(pool),
			}), capacityTokens, unseenFactor,
		};
		plans.set(pool, plan);
		return plan;
	}

	/**
	An invalid weight counts as 1: to reject the configuration would hold back its other changes from all nodes.
	*/
	function readWeight(account: string, weight: number | undefined): number {
		if (weight === undefined || (Number.isFinite(weight) && weight > 0)) {
			return weight ?? 1;
		}

		logger.warn({name: 'account-weight-invalid', account, weight: String(weight)});
		return 1;
	}

	return {
		configure(accounts) {
			weights = new Map(accounts.map(({name, weight}) => [name, readWeight(name, weight)]));
			plans.clear();
			waitedAt.clear();
			table.setAccounts(new Set(weights.keys()));
		},
		recordAsked(request) {
			const tokens = measureWorkTokens(request);
			table.record(request.pool, {
				priority: request.priority, account: request.account, accounts: 1, askedTokens: tokens, returnedTokens: request.isReturned ? tokens : 0, servedTokens: 0,
			});
		},
		recordServed(request) {
			table.record(request.pool, {
				priority: request.priority, account: request.account, accounts: 1, askedTokens: 0, returnedTokens: 0, servedTokens: measureWorkTokens(request),
			});
		},
		decide(request, {costMs, readMs, objectiveMs}, admission): Admission {
			const waitMs = costMs - readMs;
			// A request that is late by its own length shows no contention.
			if (waitMs > roomShare * objectiveMs) {
				markWaited(request);
			}

			// Demand and capacity are not known before a whole window has been seen.
			if (request.priority === 0 || performance.now() - startedAt < windowMs || !table.isContended(request.pool)) {
				return admission;
			}

			const {shares, capacityTokens, unseenFactor} = getPlan(request.pool);
			const share = shares.get(formatDemandKey(request));
			if (share === undefined || capacityTokens === 0) {
				return admission;
			}

			const decision = decideShare({
				admission, priority: request.priority, share, isReturned: request.isReturned, waitMs, objectiveMs, windowMs, draw: drawNumber(), spreadDraw: drawNumber(),
			});
			if (!decision.isWithinShare) {
				metrics.increment(decision.admission.kind === 'refuse' ? 'gateway.share-refused' : 'gateway.share-late', 1, {pool: request.pool});
				logger.info({
					name: 'request-share',
					request: request.id,
					account: request.account,
					pool: request.pool,
					priority: request.priority,
					kind: decision.admission.kind,
					shareTokens: Math.round(share.shareTokens),
					askedTokens: Math.round(share.askedTokens),
					capacityTokens: Math.round(capacityTokens),
					waitMs: Math.round(waitMs),
					unseenFactor,
				});
			}

			return decision.admission;
		},
	};
}
