import type {ServicePool, ServingEndpoint} from '@valvesaddle/gateway-types';
import {createBoundedSet} from './create-bounded-set.ts';
import {createCooldownTable} from './create-cooldown-table.ts';
import {createFailureTable} from './create-failure-table.ts';
import {createLoadTable} from './create-load-table.ts';
import {createPrefixModel} from './create-prefix-model.ts';
import {createPromptChooser} from './create-prompt-chooser.ts';
import {createSilenceGuard} from './create-silence-guard.ts';
import {createWorkBook} from './create-work-book.ts';
import {formatIncarnation} from './format-incarnation.ts';
import type {KnownEndpoint} from './known-endpoint.ts';
import type {LoadUpdate} from './load-update.ts';
import type {Placement} from './placement.ts';
import type {Rating} from './rating.ts';
import type {Selection} from './selection.ts';
import type {SelectionCriteria} from './selection-criteria.ts';
import type {Selector} from './selector.ts';
import type {SelectorOptions} from './selector-options.ts';

/**
Incarnations whose names are kept: some hours of restarts of a large fleet, while late news come within seconds.
*/
const mostIncarnations = 2000;

/**
 Creates the selector of a node.

 @example
 const selector = createSelector({harmWeight: 1, riskWeight: 1, reuseMs: 10_000, rereadMsPerToken: 0.3, prefillTokensPerMs: 50});
 selector.addEndpoint(endpoint);
 const selection = selector.choose({pool: 'drafting', promptTokens: 900, parts, tried: new Set()});
 */
export function createSelector(options: SelectorOptions): Selector {
	const endpoints = new Map<string, KnownEndpoint>();
	/**
	Incarnations that are known to be gone.
	*/
	const outdated = createBoundedSet(mostIncarnations);
	const pools = new Map<string, ServicePool>();
	const loads = createLoadTable();
	const prefixes = createPrefixModel({reuseMs: options.reuseMs});
	const failures = createFailureTable();
	const cooldowns = createCooldownTable();
	/**
	Incarnations that said in an answer that they leave; their entries may lag behind.
	*/
	const leaving = createBoundedSet(mostIncarnations);
	const chooser = createPromptChooser({settings: options, loads, prefixes});
	let unseenFactor = 1;
	let newsAt: number | undefined;
	let placements: Placement[] = [];
	const guard = createSilenceGuard({
		loads,
		measurePauseMs: pool => chooser.getPauses(pool).pauseMs(),
		onDark(endpoint) {
			if (!failures.isEjected(endpoint)) {
				failures.eject(endpoint);
			}
		},
	});
	const book = createWorkBook({
		loads,
		failures,
		chooser,
		guard,
		onPlacement(placement) {
			addPlacement(placement);
			placements.push(placement);
			options.onPlacement?.();
		},
	});

	function addPlacement(placement: Placement): void {
		prefixes.add(placement);
		chooser.recordDemand(placement.pool, placement.endpoint, placement.tokens);
	}

	function isCooling(incarnation: string): boolean {
		return cooldowns.getRemainingMs(incarnation) > 0;
	}

	/**
	Whether an endpoint takes requests but for a cooldown, by its entry and by its own word.
	*/
	function isReady({state, incarnation}: KnownEndpoint): boolean {
		return state === 'ready' && !leaving.has(incarnation);
	}

	function markLeaving(incarnation: string): void {
		if (leaving.has(incarnation)) {
			return;
		}

		leaving.add(incarnation);
		chooser.markChanged();
	}

	function listReady(pool: string): readonly KnownEndpoint[] {
		return endpoints.values().filter(endpoint => endpoint.pool === pool && isReady(endpoint)).toArray();
	}

	/**
	The first of the lists that is not empty: an endpoint that fails is better than none, but what one asked for holds.
	*/
	function listCandidates(ready: readonly KnownEndpoint[], tried: ReadonlySet<string>): readonly KnownEndpoint[] {
		const untried = ready.filter(({incarnation}) => !tried.has(incarnation) && !isCooling(incarnation));
		const sound = untried.filter(({incarnation}) => !failures.isEjected(incarnation));
		return sound.length > 0 ? sound : untried;
	}

	function chooseByLoad(candidates: readonly KnownEndpoint[], question: SelectionCriteria): Rating | undefined {
		const rated = candidates.map(endpoint => ({
			endpoint, heldTokens: 0, costMs: (loads.get(endpoint.incarnation).open + Math.random()) / endpoint.slots, readMs: 0, harmMs: 0, urgency: question.urgency, candidates: candidates.length,
		}));
		return rated.toSorted((a, b) => a.costMs - b.costMs)[0];
	}

	function choose(question: SelectionCriteria): Selection | undefined {
		const ready = listReady(question.pool);
		const candidates = listCandidates(ready, question.tried);
		const rating = pools.get(question.pool)?.engine === undefined
			? chooseByLoad(candidates, question)
			: chooser.choose(ready, candidates, question);
		return rating && {...rating, unseenFactor, newsAgeMs: newsAt === undefined ? -1 : Math.round(performance.now() - newsAt)};
	}

	/**
	A peer that has not heard of a new incarnation yet still tells of the one before.
	*/
	function takeCurrent({loads: told, placements: sent}: LoadUpdate): LoadUpdate {
		return {
			loads: told.filter(([endpoint]) => !outdated.has(endpoint)),
			placements: sent.filter(({endpoint}) => !outdated.has(endpoint)),
		};
	}

	function updateCapacity({incarnation, pool}: KnownEndpoint): void {
		prefixes.setCapacity(incarnation, pools.get(pool)?.engine?.cacheTokens ?? Infinity);
	}

	function addEndpoint(endpoint: ServingEndpoint): void {
		const known = {...endpoint, incarnation: formatIncarnation(endpoint)};
		endpoints.set(endpoint.id, known);
		chooser.markChanged();
		outdated.remove(known.incarnation);
		updateCapacity(known);
	}

	/**
	Makes every keeper forget an incarnation; the book last, since requests that it tells choose again.
	*/
	function removeIncarnation(incarnation: string, endedAt: number): void {
		outdated.add(incarnation);
		loads.removeEndpoint(incarnation);
		prefixes.removeEndpoint(incarnation);
		failures.removeEndpoint(incarnation);
		guard.removeEndpoint(incarnation);
		chooser.removeEndpoint(incarnation);
		placements = placements.filter(({endpoint}) => endpoint !== incarnation);
		book.removeEndpoint(incarnation, endedAt);
	}

	return {
		addEndpoint,
		removeEndpoint(id) {
			const known = endpoints.get(id);
			endpoints.delete(id);
			chooser.markChanged();
			if (known !== undefined) {
				// Its process may go on for a while, so its requests are left to it.
				removeIncarnation(known.incarnation, -Infinity);
			}
		},
		setIncarnation(endpoint) {
			const before = endpoints.get(endpoint.id);
			addEndpoint(endpoint);
			if (before !== undefined && before.born !== endpoint.born) {
				removeIncarnation(before.incarnation, endpoint.born ?? -Infinity);
			}
		},
		setPools(newPools) {
			pools.clear();
			for (const pool of newPools) {
				pools.set(pool.name, pool);
			}

			for (const known of endpoints.values()) {
				updateCapacity(known);
			}
		},
		choose,
		open: book.open,
		applyNotice(incarnation, {retryAfterMs, isLeaving}) {
			if (retryAfterMs !== undefined) {
				cooldowns.start(incarnation, retryAfterMs);
			}

			if (isLeaving) {
				markLeaving(incarnation);
			}
		},
		canTake({id, incarnation}) {
			const known = endpoints.get(id);
			return known?.incarnation === incarnation && isReady(known) && !isCooling(incarnation);
		},
		getCooldownMs(pool) {
			const remaining = listReady(pool).map(({incarnation}) => cooldowns.getRemainingMs(incarnation));
			return remaining.length === 0 ? 0 : Math.min(...remaining);
		},
		takeLoadUpdate() {
			guard.update(endpoints.values());
			const news = {loads: loads.takeChanged(), placements};
			placements = [];
			return news.loads.length === 0 && news.placements.length === 0 ? undefined : news;
		},
		listOwn: () => ({loads: loads.listOwn(), placements: []}),
		applyLoadUpdate(node, news) {
			newsAt = performance.now();
			const current = takeCurrent(news);
			for (const [endpoint, load] of current.loads) {
				loads.applyPeer(node, endpoint, load);
			}

			for (const placement of current.placements) {
				addPlacement(placement);
			}

			return current;
		},
		setUnseenFactor(factor) {
			unseenFactor = factor;
			loads.setUnseenFactor(factor);
		},
		measurePoolLoad: pool => ({
			...chooser.getReading(pool),
			open: listReady(pool).reduce((sum, {incarnation}) => sum + loads.get(incarnation).open, 0),
		}),
		removeNode: loads.removePeer,
	};
}
