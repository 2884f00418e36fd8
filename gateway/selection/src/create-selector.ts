import type {ServicePool, ServingEndpoint} from '@valvesaddle/gateway-types';
import {createFailureTable} from './create-failure-table.ts';
import {createLoadTable} from './create-load-table.ts';
import {createPrefixModel} from './create-prefix-model.ts';
import {createPromptChooser} from './create-prompt-chooser.ts';
import type {EndpointLoad} from './endpoint-load.ts';
import {noLoad} from './no-load.ts';
import type {OpenWork} from './open-work.ts';
import type {Placement} from './placement.ts';
import type {Rating} from './rating.ts';
import type {Selection} from './selection.ts';
import type {SelectionQuestion} from './selection-question.ts';
import type {Selector} from './selector.ts';
import type {SelectorOptions} from './selector-options.ts';

/**
Prompts that are shorter say more about the way to the engine than about its reading, in tokens.
*/
const leastReadTokens = 1000;
/**
Prompts that were before it, as a part of a prompt's own tokens, up to which its reading says something of the endpoint.
*/
const queuedShare = 0.2;
/**
Time to the first token that is not spent reading, in milliseconds.
*/
const unreadingMs = 10;

type Reading = {
	/**
	Tokens of the prompt, and of prompts before it, that had not been read when it was sent.
	*/
	readonly unread: number;
	readonly tokensBefore: number;
	readonly milliseconds: number;
};

/**
 Creates the selector of a node.

 @example
 const selector = createSelector({longPromptTokens: 5000, longShare: 0.55, reuseMs: 10_000, rereadMsPerToken: 0.3, prefillTokensPerMs: 50});
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

	function isLongPrompt({promptTokens}: SelectionQuestion): boolean {
		return promptTokens > options.longPromptTokens;
	}

	function addPlacement(placement: Placement): void {
		prefixes.add(placement);
		chooser.recordDemand(placement.pool, placement.isLong, placement.tokens * unseenFactor);
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

	function chooseByLoad(candidates: readonly ServingEndpoint[]): Rating | undefined {
		const rated = candidates.map(endpoint => ({
			endpoint, heldTokens: 0, costMs: (loads.get(endpoint.id).open + Math.random()) / endpoint.slots, candidates: candidates.length,
		}));
		return rated.toSorted((a, b) => a.costMs - b.costMs)[0];
	}

	function choose(question: SelectionQuestion): Selection | undefined {
		const ready = listReady(question.pool);
		const candidates = listCandidates(ready, question.tried);
		const rating = pools.get(question.pool)?.engine === undefined
			? chooseByLoad(candidates)
			: chooser.choose(ready, candidates, question);
		return rating && {...rating, unseenFactor, newsAgeMs: newsAt === undefined ? -1 : Math.round(performance.now() - newsAt)};
	}

	const settlers: Readonly<Record<Parameters<OpenWork['close']>[0], (id: string) => void>> = {
		done(id) {
			failures.record(id, false);
		},
		rejected(id) {
			failures.record(id, false);
		},
		failed(id) {
			failures.record(id, true);
		},
		gone(id) {
			failures.eject(id);
		},
		cancelled() {
			// Says nothing about the endpoint.
		},
	};

	function recordReading(pool: string, endpoint: string, {unread, tokensBefore, milliseconds}: Reading): void {
		chooser.recordReading(pool, unread, milliseconds);
		// Behind other prompts it would show the queue, not the endpoint.
		if (unread >= leastReadTokens && tokensBefore <= queuedShare * unread) {
			loads.recordReading(endpoint, unread + tokensBefore, Math.max(1, milliseconds - unreadingMs));
		}
	}

	function openWork({endpoint: {id}, heldTokens}: Selection, question: SelectionQuestion): OpenWork {
		const missing = Math.max(0, question.promptTokens - heldTokens);
		const openedAt = performance.now();
		const {prefillTokens: tokensBefore} = loads.get(id);
		let unread = missing;
		let isClosed = false;
		const isLong = isLongPrompt(question);
		loads.add(id, toLoad(isLong, 1, missing));
		if (question.promptTokens > 0) {
			const placement = {
				endpoint: id, pool: question.pool, parts: question.parts.slice(0, -1).map(part => part.id), tokens: missing, isLong,
			};
			addPlacement(placement);
			placements.push(placement);
		}

		return {
			markBegun() {
				if (isClosed || unread === 0) {
					return;
				}

				recordReading(question.pool, id, {unread, tokensBefore, milliseconds: performance.now() - openedAt});
				loads.add(id, toLoad(isLong, 0, -unread));
				unread = 0;
			},
			close(end) {
				if (isClosed) {
					return;
				}

				isClosed = true;
				loads.add(id, toLoad(isLong, -1, -unread));
				settlers[end](id);
			},
		};
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
		open: openWork,
		findAddress: id => endpoints.get(id)?.address,
		takeNews() {
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

function toLoad(isLong: boolean, open: number, tokens: number): EndpointLoad {
	return {
		...noLoad, open, prefillTokens: tokens, longTokens: isLong ? tokens : 0, shortOpen: isLong ? 0 : open,
	};
}
