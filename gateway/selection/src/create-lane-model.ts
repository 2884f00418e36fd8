import {chooseLane} from './choose-lane.ts';
import type {LaneModel} from './lane-model.ts';
import type {Lanes} from './lanes.ts';

/**
Options of `createLaneModel`.
*/
type LaneModelOptions = {
	/**
	Part of the endpoints for long prompts while little is known.
	*/
	readonly longShare: number;
	/**
	How many times more room a short prompt's token gets: streams beside it must not pause.
	*/
	readonly shortWeight: number;
	/**
	Time over which demand is averaged, in milliseconds.
	*/
	readonly averageMs: number;
};

/**
Tokens of the average demand that the first share counts for.
*/
const priorTokens = 20_000;
/**
How far the wanted number of endpoints has to be off before one changes its lane.
*/
const hysteresis = 0.75;

/**
 Creates the model of a pool's lanes. The long lane grows and shrinks by whole endpoints in an order that all nodes share,
 so that nodes which see the same demand part the pool alike.

 @example
 const lanes = createLaneModel({longShare: 0.55, shortWeight: 1.6, averageMs: 3000});
 lanes.record(true, 6000);
 lanes.getLanes(['i-1', 'i-2', 'i-3']).long.size; // 2
 */
export function createLaneModel({longShare, shortWeight, averageMs}: LaneModelOptions): LaneModel {
	let longTokens = 0;
	let shortTokens = 0;
	let decayedAt = performance.now();
	let count = 0;
	let cached: {readonly key: string; readonly lanes: Lanes} | undefined;

	function decay(): void {
		const now = performance.now();
		const factor = Math.exp((decayedAt - now) / averageMs);
		longTokens *= factor;
		shortTokens *= factor;
		decayedAt = now;
	}

	function countLong(endpoints: number): number {
		decay();
		const long = longTokens + (priorTokens * longShare);
		const short = (shortTokens * shortWeight) + (priorTokens * (1 - longShare));
		const wanted = endpoints * long / (long + short);
		if (count < 1 || count >= endpoints || Math.abs(wanted - count) > hysteresis) {
			count = Math.min(endpoints - 1, Math.max(1, Math.round(wanted)));
		}

		return count;
	}

	return {
		record(isLong, tokens) {
			decay();
			longTokens += isLong ? tokens : 0;
			shortTokens += isLong ? 0 : tokens;
		},
		getLanes(endpoints) {
			const long = endpoints.length < 2 ? 0 : countLong(endpoints.length);
			const key = `${long} ${endpoints.join(' ')}`;
			if (cached?.key !== key) {
				cached = {key, lanes: chooseLane(endpoints, long)};
			}

			return cached.lanes;
		},
	};
}
