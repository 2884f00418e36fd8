import {countPendingPrefill} from './count-pending-prefill.ts';
import {createPreferredEndpoints} from './create-preferred-endpoints.ts';
import {createSpeedModel} from './create-speed-model.ts';
import {createPauseModel} from './create-pause-model.ts';
import {createPrefillRate} from './create-prefill-rate.ts';
import type {EndpointLoad} from './endpoint-load.ts';
import type {KnownEndpoint} from './known-endpoint.ts';
import type {LoadTable} from './load-table.ts';
import {createStreamReservation} from './create-stream-reservation.ts';
import {measureDelay} from './measure-delay.ts';
import type {SpeedModel} from './speed-model.ts';
import type {PauseModel} from './pause-model.ts';
import type {PrefixCacheModel} from './prefix-cache-model.ts';
import type {PromptChooser} from './prompt-chooser.ts';
import type {Rating} from './rating.ts';
import type {PrefillRate} from './prefill-rate.ts';
import {measureRoom} from './measure-room.ts';
import type {RoomModel} from './room-model.ts';
import type {SelectionCriteria} from './selection-criteria.ts';
import type {SelectorOptions} from './selector-options.ts';
import type {StreamReservation} from './stream-reservation.ts';

/**
Advantage of a prompt's preferred endpoint, as a share of the cost of prefilling its shared parts again. Nodes that get the same
prefix at once, or have just started, thus send it to the same endpoint.
*/
const preferenceShare = 0.1;
/**
Engines that are up to so much faster than the initial rate count as engines of that rate: it is an estimate.
*/
const rereadSpeedup = 1.5;
/**
Cost of a new connection: round trips, and processor time of the endpoint and of a small VM.
*/
const newConnectionMs = 10;
/**
Interval between updates of the speed model.
*/
const speedUpdateMs = 500;

type PromptChooserOptions = {
	readonly settings: SelectorOptions;
	readonly loads: Pick<LoadTable, 'get'>;
	readonly prefixes: Pick<PrefixCacheModel, 'countCached' | 'countRecent'>;
	readonly rooms: Pick<RoomModel, 'predictRoom'>;
};

type PoolModel = {
	readonly rate: PrefillRate;
	readonly speeds: SpeedModel;
	readonly pauses: PauseModel;
	readonly reservation: StreamReservation;
	speedsUpdatedAt: number;
	placedTokens: number;
};

/**
 Creates the chooser among the endpoints of model engines.

 @example
 const chooser = createPromptChooser({settings, loads, prefixes, rooms});
 chooser.choose(ready, ready, criteria)?.endpoint.id;
 */
export function createPromptChooser({settings, loads, prefixes, rooms}: PromptChooserOptions): PromptChooser {
	const pools = new Map<string, PoolModel>();
	const preferences = createPreferredEndpoints();

	function getPool(name: string): PoolModel {
		const pool = pools.get(name) ?? {
			rate: createPrefillRate(settings.prefillTokensPerMs),
			speeds: createSpeedModel(),
			pauses: createPauseModel(),
			reservation: createStreamReservation({
				maximumShare: settings.reservedShare ?? 0,
				loads,
				onPlanned(reserved, streams) {
					settings.onReserved?.(name, reserved, streams);
				},
			}),
			speedsUpdatedAt: -Infinity,
			placedTokens: 0,
		};
		pools.set(name, pool);
		return pool;
	}

	function updateSpeeds(pool: PoolModel, ready: readonly KnownEndpoint[]): void {
		const now = performance.now();
		if (now - pool.speedsUpdatedAt < speedUpdateMs) {
			return;
		}

		pool.speedsUpdatedAt = now;
		pool.speeds.update(new Map(ready.map(({incarnation}) => [incarnation, loads.get(incarnation)])));
	}

	/**
	Predicts the number of streams that miss their pause objective because of prefill, by their weights: those open at the endpoint,
	and the request's own.
	*/
	function measureInterference({pauses, speeds, rate}: PoolModel, endpoint: string, load: EndpointLoad, uncachedTokens: number, {pauseObjectiveMs}: SelectionCriteria): number {
		const factor = speeds.getFactor(endpoint);
		const backlogMs = countPendingPrefill(load) / (rate.get() * factor);
		const backlogInterference = pauses.toInterference(backlogMs, factor);
		const added = pauses.toInterference(backlogMs + (uncachedTokens / (rate.get() * factor)), factor) - backlogInterference;
		const others = Math.min(load.open, added * load.sensitivity);
		const own = 1 - Math.exp(-(pauses.predictInterference(endpoint) + backlogInterference) * pauses.toSensitivity(pauseObjectiveMs));
		return (settings.interferenceWeight * others) + (settings.riskWeight * own);
	}

	function findPreferred(ready: readonly KnownEndpoint[], candidates: readonly KnownEndpoint[], shared: SelectionCriteria['parts']): string | undefined {
		const key = shared.map(({id}) => id).join(',');
		return preferences.find(key, ready.map(({incarnation}) => incarnation), new Set(candidates.map(({incarnation}) => incarnation)));
	}

	/**
	Delay that is accepted for a token that need not be prefilled again: less at engines that prefill it in less time.
	*/
	function measureRereadMsPerToken({rate}: PoolModel): number {
		const speedup = rate.getBest() / settings.prefillTokensPerMs;
		return settings.isRereadByRate === true && speedup > rereadSpeedup ? settings.rereadMsPerToken / speedup : settings.rereadMsPerToken;
	}

	function chooseBest(pool: PoolModel, ready: readonly KnownEndpoint[], candidates: readonly KnownEndpoint[], criteria: SelectionCriteria): Rating | undefined {
		const {urgency} = criteria;
		const shared = criteria.parts.slice(0, -1);
		const recentTokens = prefixes.countRecent(criteria.parts);
		const preferred = findPreferred(ready, candidates, shared);
		const tokensPerMs = pool.rate.get();
		const rereadMsPerToken = measureRereadMsPerToken(pool);
		const preferenceMs = preferenceShare * rereadMsPerToken * countTokens(shared);
		let best: (Rating & {readonly score: number}) | undefined;
		for (const endpoint of candidates) {
			const heldTokens = prefixes.countCached(endpoint.incarnation, criteria.parts);
			const uncachedTokens = criteria.promptTokens - heldTokens;
			const load = loads.get(endpoint.incarnation);
			const endpointTokensPerMs = tokensPerMs * pool.speeds.getFactor(endpoint.incarnation);
			const room = measureRoom(rooms.predictRoom(endpoint, criteria), {criteria, load, tokensPerMs: endpointTokensPerMs});
			const costMs = room.costMs + measureDelay({
				load, slots: endpoint.slots, urgency, uncachedTokens, tokensPerMs: endpointTokensPerMs,
			});
			const wasteMs = Math.max(0, recentTokens - heldTokens) * rereadMsPerToken;
			const connectMs = settings.hasConnection?.(endpoint.address) === false ? newConnectionMs : 0;
			const minimumScore = costMs + room.penaltyMs + wasteMs + connectMs - (endpoint.incarnation === preferred ? preferenceMs : 0);
			// Interference only adds to the score and is the most expensive part to compute.
			if (best !== undefined && minimumScore >= best.score) {
				continue;
			}

			const harmMs = criteria.objectiveMs * measureInterference(pool, endpoint.incarnation, load, uncachedTokens, criteria);
			const score = minimumScore + harmMs;
			if (best === undefined || score < best.score) {
				best = {
					endpoint, heldTokens, costMs, readMs: uncachedTokens / endpointTokensPerMs, harmMs, urgency, score, candidates: candidates.length,
					memoryTokens: room.memoryTokens, roomInMs: room.roomInMs,
				};
			}
		}

		return best;
	}

	return {
		choose(ready, candidates, criteria) {
			const pool = getPool(criteria.pool);
			updateSpeeds(pool, ready);
			const {speeds, reservation} = pool;
			const allowed = reservation.listAllowed({
				ready, candidates, pauseObjectiveMs: criteria.pauseObjectiveMs, getSpeedFactor: speeds.getFactor, canWait: criteria.roomWithinMs !== undefined,
			});
			return chooseBest(pool, ready, allowed, criteria);
		},
		recordPlacement(name, endpoint, tokens) {
			const pool = getPool(name);
			const {rate, speeds, pauses} = pool;
			pool.placedTokens += tokens;
			const factor = speeds.getFactor(endpoint);
			pauses.recordPrefill(endpoint, tokens / (rate.get() * factor), factor);
		},
		recordPrefill(pool, tokens, milliseconds) {
			getPool(pool).rate.record(tokens, milliseconds);
		},
		getSpeed(name, endpoint) {
			const {rate, speeds} = getPool(name);
			const factor = speeds.getFactor(endpoint);
			return {factor, tokensPerMs: rate.get() * factor};
		},
		getPrefillRate(name) {
			const {placedTokens, rate} = getPool(name);
			return {placedTokens, tokensPerMs: rate.get()};
		},
		getPauseModel: name => getPool(name).pauses,
		getReservation: name => getPool(name).reservation,
		markChanged() {
			preferences.clear();
			for (const {reservation} of pools.values()) {
				reservation.markChanged();
			}
		},
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
