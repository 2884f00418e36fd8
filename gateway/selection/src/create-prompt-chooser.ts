import type {ServingEndpoint} from '@valvesaddle/gateway-types';
import {rankByHash} from '@valvesaddle/ranking';
import {createLaneModel} from './create-lane-model.ts';
import {createPaceModel} from './create-pace-model.ts';
import {createReadingRate} from './create-reading-rate.ts';
import type {EndpointLoad} from './endpoint-load.ts';
import type {LaneModel} from './lane-model.ts';
import type {Lanes} from './lanes.ts';
import type {LoadTable} from './load-table.ts';
import type {PaceModel} from './pace-model.ts';
import type {PrefixModel} from './prefix-model.ts';
import type {PromptChooser} from './prompt-chooser.ts';
import type {Rating} from './rating.ts';
import type {ReadingRate} from './reading-rate.ts';
import type {SelectionQuestion} from './selection-question.ts';
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
/**
How often endpoints are compared by their pace, in milliseconds.
*/
const paceMs = 500;

type PromptChooserOptions = {
	readonly settings: SelectorOptions;
	readonly loads: Pick<LoadTable, 'get'>;
	readonly prefixes: Pick<PrefixModel, 'countHeld' | 'countRecent'>;
};

type LaneQuestion = {
	readonly isLong: boolean;
	readonly objectiveMs: number;
};

type PoolModel = {
	readonly lanes: LaneModel;
	readonly rate: ReadingRate;
	readonly paces: PaceModel;
	pacedAt: number;
};

/**
 Creates the chooser among model engines.

 @example
 const chooser = createPromptChooser({settings, loads, prefixes});
 chooser.choose(ready, ready, question)?.endpoint.id;
 */
export function createPromptChooser({settings, loads, prefixes}: PromptChooserOptions): PromptChooser {
	const pools = new Map<string, PoolModel>();

	function getPool(name: string): PoolModel {
		const pool = pools.get(name) ?? {
			lanes: createLaneModel({
				longShare: settings.longShare, shortUse: settings.shortUse, longUse: settings.longUse, averageMs: settings.laneAverageMs,
			}),
			rate: createReadingRate(settings.prefillTokensPerMs),
			paces: createPaceModel(),
			pacedAt: -Infinity,
		};
		pools.set(name, pool);
		return pool;
	}

	function updatePaces(pool: PoolModel, ready: readonly ServingEndpoint[]): void {
		const now = performance.now();
		if (now - pool.pacedAt < paceMs) {
			return;
		}

		pool.pacedAt = now;
		pool.paces.update(new Map(ready.map(({id}) => [id, loads.get(id)])));
	}

	function getLanes(pool: PoolModel, ready: readonly ServingEndpoint[]): Lanes {
		const {short} = pool.lanes.lastLanes();
		let fill = 0;
		for (const {id, slots} of ready) {
			fill += short.has(id) ? loads.get(id).open / slots : 0;
		}

		return pool.lanes.getLanes(ready.map(({id}) => id), {
			shortFill: fill / settings.shortFillUse, tokensPerMs: pool.rate.get(), slow: pool.paces.listSlow(),
		});
	}

	/**
	Delay for which a prompt may leave its lane. A long one that does so harms every stream that is open beside it.
	*/
	function measureLaneCost({isLong, objectiveMs}: LaneQuestion, endpoint: string, lanes: Lanes, {longTokens, shortOpen}: EndpointLoad): number {
		const leaveMs = settings.leaveLaneShare * objectiveMs;
		if (isLong) {
			return lanes.long.has(endpoint) ? shortOpen * msPerMovedStream : leaveMs + (shortOpen * msPerDisturbedStream);
		}

		// An engine that has just changed its lane still reads what it got before.
		return lanes.short.has(endpoint) ? Math.min(leaveMs, longTokens * msPerLongToken) : leaveMs;
	}

	/**
	Delay until the prompt's first token, in milliseconds.
	*/
	function measureDelay({open, prefillTokens}: EndpointLoad, slots: number, unreadTokens: number, tokensPerMs: number): number {
		const queueMs = Math.max(0, open + 1 - slots) * msPerQueued;
		return ((prefillTokens + unreadTokens) / tokensPerMs) + (open * msPerOpenStream) + queueMs;
	}

	return {
		choose(ready, candidates, question) {
			const pool = getPool(question.pool);
			updatePaces(pool, ready);
			const lanes = getLanes(pool, ready);
			const isLong = question.promptTokens > settings.longPromptTokens;
			const shared = question.parts.slice(0, -1);
			const recentTokens = prefixes.countRecent(question.parts);
			const lane = isLong ? lanes.long : lanes.short;
			const [agreed] = recentTokens === 0 ? rankByHash(shared.map(({id}) => id).join(','), candidates.map(({id}) => id).filter(id => lane.has(id))) : [];
			const agreedMs = sameChoiceShare * settings.rereadMsPerToken * countTokens(shared);
			const tokensPerMs = pool.rate.get();
			let best: (Rating & {readonly score: number}) | undefined;
			for (const endpoint of candidates) {
				const heldTokens = prefixes.countHeld(endpoint.id, question.parts);
				const load = loads.get(endpoint.id);
				const costMs = measureDelay(load, endpoint.slots, question.promptTokens - heldTokens, tokensPerMs * pool.paces.getFactor(endpoint.id));
				const wasteMs = Math.max(0, recentTokens - heldTokens) * settings.rereadMsPerToken;
				const score = costMs + wasteMs + measureLaneCost({isLong, objectiveMs: question.objectiveMs}, endpoint.id, lanes, load) - (endpoint.id === agreed ? agreedMs : 0);
				if (best === undefined || score < best.score) {
					best = {
						endpoint, heldTokens, costMs, score, candidates: candidates.length,
					};
				}
			}

			return best;
		},
		recordDemand(pool, isLong, tokens) {
			getPool(pool).lanes.record(isLong, tokens);
		},
		recordReading(pool, tokens, milliseconds) {
			getPool(pool).rate.record(tokens, milliseconds);
		},
	};
}

function countTokens(parts: SelectionQuestion['parts']): number {
	let sum = 0;
	for (const {tokens} of parts) {
		sum += tokens;
	}

	return sum;
}
