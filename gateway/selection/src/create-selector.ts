import type {ServicePool, ServingEndpoint} from '@valvesaddle/gateway-types';
import {createFailureTable} from './create-failure-table.ts';
import {createLoadTable} from './create-load-table.ts';
import {createPrefixModel} from './create-prefix-model.ts';
import {createPromptChooser} from './create-prompt-chooser.ts';
import {createSilenceGuard} from './create-silence-guard.ts';
import {createWorkBook} from './create-work-book.ts';
import type {Placement} from './placement.ts';
import type {Rating} from './rating.ts';
import type {Selection} from './selection.ts';
import type {SelectionQuestion} from './selection-question.ts';
import type {Selector} from './selector.ts';
import type {SelectorOptions} from './selector-options.ts';

/**
 Creates the selector of a node.

 @example
 const selector = createSelector({harmWeight: 1, riskWeight: 1, reuseMs: 10_000, rereadMsPerToken: 0.3, prefillTokensPerMs: 50});
 selector.addEndpoint(endpoint);
 const selection = selector.choose({pool: 'drafting', promptTokens: 900, parts, tried: new Set()});
 */
export function createSelector(options: SelectorOptions): Selector {
	const endpoints = new Map<string, ServingEndpoint>();
	const pools = new Map<string, ServicePool>();
	const loads = createLoadTable();
	const prefixes = createPrefixModel({reuseMs: options.reuseMs});
	const failures = createFailureTable();
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
		},
	});

	function addPlacement(placement: Placement): void {
		prefixes.add(placement);
		chooser.recordDemand(placement.pool, placement.endpoint, placement.tokens);
	}

	function listReady(pool: string): readonly ServingEndpoint[] {
		return endpoints.values().filter(endpoint => endpoint.pool === pool && endpoint.state === 'ready').toArray();
	}

	/**
	The first of the lists that is not empty: each asks for less than the one before.
	*/
	function listCandidates(ready: readonly ServingEndpoint[], tried: ReadonlySet<string>): readonly ServingEndpoint[] {
		const untried = ready.filter(({id}) => !tried.has(id));
		const sound = untried.filter(({id}) => !failures.isEjected(id));
		return sound.length > 0 ? sound : untried;
	}

	function chooseByLoad(candidates: readonly ServingEndpoint[], question: SelectionQuestion): Rating | undefined {
		const rated = candidates.map(endpoint => ({
			endpoint, heldTokens: 0, costMs: (loads.get(endpoint.id).open + Math.random()) / endpoint.slots, readMs: 0, harmMs: 0, urgency: question.urgency, candidates: candidates.length,
		}));
		return rated.toSorted((a, b) => a.costMs - b.costMs)[0];
	}

	function choose(question: SelectionQuestion): Selection | undefined {
		const ready = listReady(question.pool);
		const candidates = listCandidates(ready, question.tried);
		const rating = pools.get(question.pool)?.engine === undefined
			? chooseByLoad(candidates, question)
			: chooser.choose(ready, candidates, question);
		return rating && {...rating, unseenFactor, newsAgeMs: newsAt === undefined ? -1 : Math.round(performance.now() - newsAt)};
	}

	return {
		addEndpoint(endpoint) {
			endpoints.set(endpoint.id, endpoint);
			prefixes.setCapacity(endpoint.id, pools.get(endpoint.pool)?.engine?.cacheTokens ?? Infinity);
		},
		removeEndpoint(id) {
			endpoints.delete(id);
			loads.removeEndpoint(id);
			prefixes.removeEndpoint(id);
			failures.removeEndpoint(id);
			guard.removeEndpoint(id);
			chooser.removeEndpoint(id);
		},
		setPools(newPools) {
			pools.clear();
			for (const pool of newPools) {
				pools.set(pool.name, pool);
			}

			for (const {id, pool} of endpoints.values()) {
				prefixes.setCapacity(id, pools.get(pool)?.engine?.cacheTokens ?? Infinity);
			}
		},
		choose,
		open: book.open,
		findAddress: id => endpoints.get(id)?.address,
		takeNews() {
			guard.update(endpoints.values());
			const news = {loads: loads.takeChanged(), placements};
			placements = [];
			return news.loads.length === 0 && news.placements.length === 0 ? undefined : news;
		},
		listOwn: () => ({loads: loads.listOwn(), placements: []}),
		applyNews(node, news) {
			newsAt = performance.now();
			for (const [endpoint, load] of news.loads) {
				loads.applyPeer(node, endpoint, load);
			}

			for (const placement of news.placements) {
				addPlacement(placement);
			}
		},
		setUnseenFactor(factor) {
			unseenFactor = factor;
			loads.setUnseenFactor(factor);
		},
		removeNode: loads.removePeer,
	};
}
