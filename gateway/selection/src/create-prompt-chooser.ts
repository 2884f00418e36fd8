import {countUnread} from './count-unread.ts';
import {createAgreedHolders} from './create-agreed-holders.ts';
import {createPaceModel} from './create-pace-model.ts';
import {createPauseModel} from './create-pause-model.ts';
import {createReadingRate} from './create-reading-rate.ts';
import type {EndpointLoad} from './endpoint-load.ts';
import type {KnownEndpoint} from './known-endpoint.ts';
import type {LoadTable} from './load-table.ts';
import {measureDelay} from './measure-delay.ts';
import type {PaceModel} from './pace-model.ts';
import type {PauseModel} from './pause-model.ts';
import type {PrefixModel} from './prefix-model.ts';
import type {PromptChooser} from './prompt-chooser.ts';
import type {Rating} from './rating.ts';
import type {ReadingRate} from './reading-rate.ts';
import type {SelectionCriteria} from './selection-criteria.ts';
import type {SelectorOptions} from './selector-options.ts';

/**
Advantage of the endpoint that all nodes would take for a prompt, as a part of what reading its shared parts again would weigh:
nodes that get the same prompt at once then agree on its first holder and on where its next copy goes, and nodes that start anew
go where the prompt was sent before.
*/
const sameChoiceShare = 0.1;
/**
What a new connection costs: round trips, the endpoint's time to take it, and some 2 ms of the node's processor, of which small VMs have a part;
in milliseconds.
*/
const newConnectionMs = 10;
/**
How often endpoints are compared by their pace, in milliseconds.
*/
const paceMs = 500;

type PromptChooserOptions = {
	readonly settings: SelectorOptions;
	readonly loads: Pick<LoadTable, 'get'>;
	readonly prefixes: Pick<PrefixModel, 'countHeld' | 'countRecent'>;
};

type PoolModel = {
	readonly rate: ReadingRate;
	readonly paces: PaceModel;
	readonly pauses: PauseModel;
	pacedAt: number;
	placedTokens: number;
};

/**
 Creates the chooser among model engines.

 @example
 const chooser = createPromptChooser({settings, loads, prefixes});
 chooser.choose(ready, ready, question)?.endpoint.id;
 */
export function createPromptChooser({settings, loads, prefixes}: PromptChooserOptions): PromptChooser {
	const pools = new Map<string, PoolModel>();
	const holders = createAgreedHolders();

	function getPool(name: string): PoolModel {
		const pool = pools.get(name) ?? {
			rate: createReadingRate(settings.prefillTokensPerMs),
			paces: createPaceModel(),
			pauses: createPauseModel(),
			pacedAt: -Infinity,
			placedTokens: 0,
		};
		pools.set(name, pool);
		return pool;
	}

	function updatePaces(pool: PoolModel, ready: readonly KnownEndpoint[]): void {
		const now = performance.now();
		if (now - pool.pacedAt < paceMs) {
			return;
		}

		pool.pacedAt = now;
		pool.paces.update(new Map(ready.map(({incarnation}) => [incarnation, loads.get(incarnation)])));
	}

	/**
	Streams that are expected to be late by their pauses: those that are open at the endpoint, and the request's own.
	*/
	function measureHarm({pauses, paces, rate}: PoolModel, endpoint: string, load: EndpointLoad, unread: number, {pauseObjectiveMs}: SelectionCriteria): number {
		const factor = paces.getFactor(endpoint);
		const backlogMs = countUnread(load) / (rate.get() * factor);
		const backlogHarm = pauses.toHarm(backlogMs, factor);
		const added = pauses.toHarm(backlogMs + (unread / (rate.get() * factor)), factor) - backlogHarm;
		const others = Math.min(load.open, added * load.sensitivity);
		const own = 1 - Math.exp(-(pauses.predictHarm(endpoint) + backlogHarm) * pauses.toSensitivity(pauseObjectiveMs));
		return (settings.interferenceWeight * others) + (settings.riskWeight * own);
	}

	function findAgreed(ready: readonly KnownEndpoint[], candidates: readonly KnownEndpoint[], shared: SelectionCriteria['parts']): string | undefined {
		const key = shared.map(({id}) => id).join(',');
		return holders.find(key, ready.map(({incarnation}) => incarnation), new Set(candidates.map(({incarnation}) => incarnation)));
	}

	function chooseBest(pool: PoolModel, ready: readonly KnownEndpoint[], candidates: readonly KnownEndpoint[], question: SelectionCriteria): Rating | undefined {
		const {urgency} = question;
		const shared = question.parts.slice(0, -1);
		const recentTokens = prefixes.countRecent(question.parts);
		const agreed = findAgreed(ready, candidates, shared);
		const agreedMs = sameChoiceShare * settings.rereadMsPerToken * countTokens(shared);
		const tokensPerMs = pool.rate.get();
		let best: (Rating & {readonly score: number}) | undefined;
		for (const endpoint of candidates) {
			const heldTokens = prefixes.countHeld(endpoint.incarnation, question.parts);
			const unread = question.promptTokens - heldTokens;
			const load = loads.get(endpoint.incarnation);
			const endpointTokensPerMs = tokensPerMs * pool.paces.getFactor(endpoint.incarnation);
			const costMs = measureDelay({
				load, slots: endpoint.slots, urgency, unread, tokensPerMs: endpointTokensPerMs,
			});
			const wasteMs = Math.max(0, recentTokens - heldTokens) * settings.rereadMsPerToken;
			const connectMs = settings.hasConnection?.(endpoint.address) === false ? newConnectionMs : 0;
			const leastScore = costMs + wasteMs + connectMs - (endpoint.incarnation === agreed ? agreedMs : 0);
			// Harm only adds, and is the dearest part to work out.
			if (best !== undefined && leastScore >= best.score) {
				continue;
			}

			const harmMs = question.objectiveMs * measureHarm(pool, endpoint.incarnation, load, unread, question);
			const score = leastScore + harmMs;
			if (best === undefined || score < best.score) {
				best = {
					endpoint, heldTokens, costMs, readMs: unread / endpointTokensPerMs, harmMs, urgency, score, candidates: candidates.length,
				};
			}
		}

		return best;
	}

	return {
		choose(ready, candidates, question) {
			const pool = getPool(question.pool);
			updatePaces(pool, ready);
			return chooseBest(pool, ready, candidates, question);
		},
		recordDemand(name, endpoint, tokens) {
			const pool = getPool(name);
			const {rate, paces, pauses} = pool;
			pool.placedTokens += tokens;
			const factor = paces.getFactor(endpoint);
			pauses.recordReading(endpoint, tokens / (rate.get() * factor), factor);
		},
		recordReading(pool, tokens, milliseconds) {
			getPool(pool).rate.record(tokens, milliseconds);
		},
		getPace(name, endpoint) {
			const {rate, paces} = getPool(name);
			const factor = paces.getFactor(endpoint);
			return {factor, tokensPerMs: rate.get() * factor};
		},
		getReading(name) {
			const {placedTokens, rate} = getPool(name);
			return {placedTokens, tokensPerMs: rate.get()};
		},
		getPauses: name => getPool(name).pauses,
		markChanged: holders.clear,
		removeEndpoint(endpoint) {
			for (const {pauses} of pools.values()) {
				pauses.removeEndpoint(endpoint);
			}
		},
	};
}

function countTokens(parts: SelectionCriteria['parts']): number {
	let sum = 0;
	for (const {tokens} of parts) {
		sum += tokens;
	}

	return sum;
}
