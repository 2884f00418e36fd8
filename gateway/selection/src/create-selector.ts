import type {ServicePool, ServingEndpoint} from '@valvesaddle/gateway-types';
import {chooseLane} from './choose-lane.ts';
import {createFailureTable} from './create-failure-table.ts';
import {createLoadTable} from './create-load-table.ts';
import {createPrefixModel} from './create-prefix-model.ts';
import type {OpenWork} from './open-work.ts';
import type {Placement} from './placement.ts';
import {rankByHash} from './rank-by-hash.ts';
import type {Selection} from './selection.ts';
import type {SelectionQuestion} from './selection-question.ts';
import type {Selector} from './selector.ts';
import type {SelectorOptions} from './selector-options.ts';

/**
Delay that one more open stream adds for the others, in milliseconds; small, so that it only settles ties.
*/
const msPerOpenStream = 3;
/**
Advantage of the endpoint that all nodes would take for a prompt that nobody holds, in milliseconds: two nodes that get the
same prompt at once then agree.
*/
const sameChoiceMs = 40;

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
	let placements: Placement[] = [];

	function listReady(pool: string): readonly ServingEndpoint[] {
		return [...endpoints.values()].filter(endpoint => endpoint.pool === pool && endpoint.state === 'ready');
	}

	/**
	The first of the lists that is not empty: each asks for less than the one before.
	*/
	function listCandidates(ready: readonly ServingEndpoint[], lane: ReadonlySet<string>, tried: ReadonlySet<string>): readonly ServingEndpoint[] {
		const untried = ready.filter(({id}) => !tried.has(id));
		const sound = untried.filter(({id}) => !failures.isEjected(id));
		const inLane = sound.filter(({id}) => lane.has(id));
		return [inLane, sound, untried].find(list => list.length > 0) ?? [];
	}

	function chooseForPrompt(candidates: readonly ServingEndpoint[], question: SelectionQuestion): Selection | undefined {
		const recentTokens = prefixes.countRecent(question.parts);
		const key = question.parts.slice(0, -1).map(({id}) => id).join(',');
		const [agreed] = recentTokens === 0 ? rankByHash(key, candidates.map(({id}) => id)) : [];
		const rated = candidates.map(endpoint => {
			const heldTokens = prefixes.countHeld(endpoint.id, question.parts);
			const {open, prefillTokens} = loads.get(endpoint.id);
			const costMs = ((prefillTokens + question.promptTokens - heldTokens) / options.prefillTokensPerMs) + (open * msPerOpenStream);
			const wasteMs = Math.max(0, recentTokens - heldTokens) * options.rereadMsPerToken;
			const score = costMs + wasteMs - (endpoint.id === agreed ? sameChoiceMs : 0);
			return {
				endpoint, heldTokens, costMs, score, candidates: candidates.length,
			};
		});
		return rated.toSorted((a, b) => a.score - b.score)[0];
	}

	function chooseByLoad(candidates: readonly ServingEndpoint[]): Selection | undefined {
		const rated = candidates.map(endpoint => ({
			endpoint, heldTokens: 0, costMs: (loads.get(endpoint.id).open + Math.random()) / endpoint.slots, candidates: candidates.length,
		}));
		return rated.toSorted((a, b) => a.costMs - b.costMs)[0];
	}

	function choose(question: SelectionQuestion): Selection | undefined {
		const ready = listReady(question.pool);
		const ids = ready.map(({id}) => id);
		if (pools.get(question.pool)?.engine === undefined) {
			return chooseByLoad(listCandidates(ready, new Set(ids), question.tried));
		}

		const lanes = chooseLane(ids, options.longShare);
		const lane = question.promptTokens > options.longPromptTokens ? lanes.long : lanes.short;
		return chooseForPrompt(listCandidates(ready, lane, question.tried), question);
	}

	function open({endpoint: {id}, heldTokens}: Selection, question: SelectionQuestion): OpenWork {
		const missing = Math.max(0, question.promptTokens - heldTokens);
		let unread = missing;
		let isClosed = false;
		loads.add(id, 1, missing);
		if (question.promptTokens > 0) {
			const placement = {endpoint: id, parts: question.parts.slice(0, -1).map(part => part.id), tokens: missing};
			prefixes.add(placement);
			placements.push(placement);
		}

		return {
			markBegun() {
				if (!isClosed) {
					loads.add(id, 0, -unread);
					unread = 0;
				}
			},
			close(end) {
				if (isClosed) {
					return;
				}

				isClosed = true;
				loads.add(id, -1, -unread);
				if (end !== 'cancelled') {
					failures.record(id, end === 'failed');
				}
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
		open,
		findAddress: id => endpoints.get(id)?.address,
		takeNews() {
			const news = {loads: loads.takeChanged(), placements};
			placements = [];
			return news.loads.length === 0 && news.placements.length === 0 ? undefined : news;
		},
		listOwn: () => ({loads: loads.listOwn(), placements: []}),
		applyNews(node, news) {
			for (const [endpoint, load] of news.loads) {
				loads.applyPeer(node, endpoint, load);
			}

			for (const placement of news.placements) {
				prefixes.add(placement);
			}
		},
		removeNode: loads.removePeer,
	};
}
