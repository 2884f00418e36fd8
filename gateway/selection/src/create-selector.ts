import type {ServicePool, ServingEndpoint} from '@valvesaddle/gateway-types';
import {rankByHash} from '@valvesaddle/ranking';
import type {Lanes} from './lanes.ts';
import type {LaneModel} from './lane-model.ts';
import {createLaneModel} from './create-lane-model.ts';
import {createReadingRate} from './create-reading-rate.ts';
import type {ReadingRate} from './reading-rate.ts';
import {createFailureTable} from './create-failure-table.ts';
import {createLoadTable} from './create-load-table.ts';
import {createPrefixModel} from './create-prefix-model.ts';
import type {EndpointLoad} from './endpoint-load.ts';
import type {OpenWork} from './open-work.ts';
import type {Placement} from './placement.ts';
import type {Selection} from './selection.ts';
import type {SelectionQuestion} from './selection-question.ts';
import type {Selector} from './selector.ts';
import type {SelectorOptions} from './selector-options.ts';

/**
Delay that one more open stream adds for the others, in milliseconds; small, so that it only settles ties.
*/
const msPerOpenStream = 3;
/**
Wait for one more request beyond an engine's slots, in milliseconds: about the time between two ends at a full engine.
*/
const msPerQueued = 40;
/**
Harm that a long prompt does to one stream beside it, as a delay that is borne to avoid it, in milliseconds.
*/
const msPerDisturbedStream = 200;
/**
The same within the lane: such a stream is left from before the engine changed its lane, in milliseconds.
*/
const msPerMovedStream = 10;
/**
Harm that a token of a long prompt does to a short one that comes to its engine, in milliseconds.
*/
const msPerLongToken = 0.02;
/**
Advantage of the endpoint that all nodes would take for a prompt of which they know no holder, as a part of what reading its
shared parts again would weigh: nodes that get the same prompt at once then agree, and nodes that start anew go where the
prompt was sent before.
*/
const sameChoiceShare = 0.1;

type LaneQuestion = {
	readonly isLong: boolean;
	readonly objectiveMs: number;
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
	const laneModels = new Map<string, LaneModel>();
	const rates = new Map<string, ReadingRate>();
	let unseenFactor = 1;
	let placements: Placement[] = [];

	function isLongPrompt({promptTokens}: SelectionQuestion): boolean {
		return promptTokens > options.longPromptTokens;
	}

	function addPlacement(placement: Placement): void {
		prefixes.add(placement);
		getLaneModel(placement.pool).record(placement.isLong, placement.tokens * unseenFactor);
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

	function getLaneModel(pool: string): LaneModel {
		const model = laneModels.get(pool) ?? createLaneModel({
			longShare: options.longShare, shortUse: options.shortUse, longUse: options.longUse, averageMs: options.laneAverageMs,
		});
		laneModels.set(pool, model);
		return model;
	}

	function getRate(pool: string): ReadingRate {
		const rate = rates.get(pool) ?? createReadingRate(options.prefillTokensPerMs);
		rates.set(pool, rate);
		return rate;
	}

	function getPoolLanes(pool: string, ready: readonly ServingEndpoint[]): Lanes {
		const model = getLaneModel(pool);
		const {short} = model.lastLanes();
		const shortFill = ready.reduce((sum, {id, slots}) => sum + (short.has(id) ? loads.get(id).open / slots : 0), 0) / options.shortFillUse;
		return model.getLanes(ready.map(({id}) => id), {shortFill, tokensPerMs: getRate(pool).get()});
	}

	/**
	Delay for which a prompt may leave its lane. A long one that does so harms every stream that is open beside it.
	*/
	function measureLaneCost({isLong, objectiveMs}: LaneQuestion, endpoint: string, lane: Lanes, {longTokens, shortOpen}: EndpointLoad): number {
		const leaveMs = options.leaveLaneShare * objectiveMs;
		if (isLong) {
			return lane.long.has(endpoint) ? shortOpen * msPerMovedStream : leaveMs + (shortOpen * msPerDisturbedStream);
		}

		// An engine that has just changed its lane still reads what it got before.
		return lane.short.has(endpoint) ? Math.min(leaveMs, longTokens * msPerLongToken) : leaveMs;
	}

	function chooseForPrompt(candidates: readonly ServingEndpoint[], lane: Lanes, question: SelectionQuestion): Selection | undefined {
		const isLong = isLongPrompt(question);
		const tokensPerMs = getRate(question.pool).get();
		const recentTokens = prefixes.countRecent(question.parts);
		const key = question.parts.slice(0, -1).map(({id}) => id).join(',');
		const laneIds = candidates.map(({id}) => id).filter(id => (isLong ? lane.long : lane.short).has(id));
		const [agreed] = recentTokens === 0 ? rankByHash(key, laneIds) : [];
		const agreedMs = sameChoiceShare * options.rereadMsPerToken * question.parts.slice(0, -1).reduce((sum, {tokens}) => sum + tokens, 0);
		const rated = candidates.map(endpoint => {
			const heldTokens = prefixes.countHeld(endpoint.id, question.parts);
			const load = loads.get(endpoint.id);
			const {open, prefillTokens} = load;
			const queueMs = Math.max(0, open + 1 - endpoint.slots) * msPerQueued;
			const costMs = ((prefillTokens + question.promptTokens - heldTokens) / tokensPerMs) + (open * msPerOpenStream) + queueMs;
			const wasteMs = Math.max(0, recentTokens - heldTokens) * options.rereadMsPerToken;
			const score = costMs + wasteMs + measureLaneCost({isLong, objectiveMs: question.objectiveMs}, endpoint.id, lane, load) - (endpoint.id === agreed ? agreedMs : 0);
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
		const candidates = listCandidates(ready, question.tried);
		return pools.get(question.pool)?.engine === undefined
			? chooseByLoad(candidates)
			: chooseForPrompt(candidates, getPoolLanes(question.pool, ready), question);
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

	function openWork({endpoint: {id}, heldTokens}: Selection, question: SelectionQuestion): OpenWork {
		const missing = Math.max(0, question.promptTokens - heldTokens);
		const openedAt = performance.now();
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

				getRate(question.pool).record(unread, performance.now() - openedAt);
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
		open, prefillTokens: tokens, longTokens: isLong ? tokens : 0, shortOpen: isLong ? 0 : open,
	};
}
