import {chooseLane} from './choose-lane.ts';
import type {LaneDemand} from './lane-demand.ts';
import type {LaneModel} from './lane-model.ts';
import type {Lanes} from './lanes.ts';

/**
Options of `createLaneModel`.
*/
type LaneModelOptions = {
	/**
	Part of the endpoints for long prompts while there is little demand.
	*/
	readonly longShare: number;
	/**
	Part of an endpoint's reading that short prompts may use: streams beside them must not pause.
	*/
	readonly shortUse: number;
	/**
	Part of an endpoint's reading that long prompts may use.
	*/
	readonly longUse: number;
	/**
	Time over which demand is averaged, in milliseconds.
	*/
	readonly averageMs: number;
};

/**
Demand that the first share counts for, in endpoints.
*/
const priorNeed = 0.5;
/**
How far the wanted number of endpoints has to be off before one changes its lane.
*/
const hysteresis = 0.7;

/**
 Creates the model of a pool's lanes. Each lane gets room by its demand; where there is not enough, short prompts go first,
 since they are the more urgent ones and suffer most from the others. Endpoints change lanes one by one in an order that all
 nodes share, so nodes that see the same demand part the pool alike.

 @example
 const lanes = createLaneModel({longShare: 0.55, shortUse: 0.5, longUse: 0.8, averageMs: 3000});
 lanes.record(true, 6000);
 lanes.getLanes(['i-1', 'i-2', 'i-3'], {shortFill: 0.2, tokensPerMs: 60, slow: new Set()}).long.size; // 2
 */
export function createLaneModel(options: LaneModelOptions): LaneModel {
	const {longShare, shortUse, longUse, averageMs} = options;
	let longTokens = 0;
	let shortTokens = 0;
	let decayedAt = performance.now();
	let count = 0;
	let key = '';
	let lanes: Lanes = {long: new Set(), short: new Set()};

	function applyDecay(): void {
		const now = performance.now();
		const factor = Math.exp((decayedAt - now) / averageMs);
		longTokens *= factor;
		shortTokens *= factor;
		decayedAt = now;
	}

	function measureWanted(endpoints: number, {shortFill, tokensPerMs}: LaneDemand): number {
		const long = (longTokens / averageMs / tokensPerMs / longUse) + (priorNeed * longShare);
		const short = Math.max(shortTokens / averageMs / tokensPerMs / shortUse, shortFill) + (priorNeed * (1 - longShare));
		return long + short <= endpoints ? endpoints * long / (long + short) : endpoints - short;
	}

	function countLong(endpoints: number, demand: LaneDemand): number {
		applyDecay();
		const wanted = measureWanted(endpoints, demand);
		if (count < 1 || count >= endpoints || Math.abs(wanted - count) > hysteresis) {
			count = Math.min(endpoints - 1, Math.max(1, Math.round(wanted)));
		}

		return count;
	}

	return {
		record(isLong, tokens) {
			applyDecay();
			longTokens += isLong ? tokens : 0;
			shortTokens += isLong ? 0 : tokens;
		},
		getLanes(endpoints, demand) {
			const long = endpoints.length < 2 ? 0 : countLong(endpoints.length, demand);
			const newKey = `${long} ${endpoints.join(' ')} ${endpoints.filter(id => demand.slow.has(id)).join(' ')}`;
			if (key !== newKey) {
				key = newKey;
				lanes = chooseLane(endpoints, long, demand.slow);
			}

			return lanes;
		},
		lastLanes: () => lanes,
	};
}
