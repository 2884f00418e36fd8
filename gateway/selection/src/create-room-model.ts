import {predictRoom, toHeldMemory} from '@valvesaddle/room';
import {createOutputModel} from './create-output-model.ts';
import {createPartUses} from './create-part-uses.ts';
import type {LoadUpdate} from './load-update.ts';
import type {LoadTable} from './load-table.ts';
import type {RoomModel} from './room-model.ts';
import type {SelectionCriteria} from './selection-criteria.ts';
import type {SelectorOptions} from './selector-options.ts';

type RoomModelOptions = {
	/**
	Whether memory is predicted at all.
	*/
	readonly isOn: boolean;
	readonly loads: Pick<LoadTable, 'get'>;
	/**
	Called with what a peer told of an engine's memory that its open requests cannot hold.
	*/
	readonly onImpossibleMemory?: SelectorOptions['onImpossibleMemory'] | undefined;
};

type Holds = {
	tokens: number;
	/**
	Sum of the products of tokens and milliseconds, so that long prompts count by what they hold.
	*/
	tokenMs: number;
};

/**
Weight that earlier requests keep with each new one, and the time that a request takes before any has ended.
*/
const decay = 0.98;
const initialHoldMs = 2000;

/**
 Creates the model of room in the memory of engines.

 @example
 const rooms = createRoomModel({isOn: true, loads});
 rooms.setCapacity('i-7f', 206_343);
 rooms.predictRoom(endpoint, criteria)?.waitMs; // 0
 */
export function createRoomModel({isOn, loads, onImpossibleMemory}: RoomModelOptions): RoomModel {
	const capacities = new Map<string, number>();
	const outputs = createOutputModel();
	const uses = createPartUses();
	const poolHolds = new Map<string, Holds>();
	const classHolds = new Map<string, Holds>();

	function getClass({pool, className = ''}: SelectionCriteria): string {
		return `${pool} ${className}`;
	}

	function estimateOutput(criteria: SelectionCriteria): number {
		return outputs.estimate(getClass(criteria), criteria.maximumOutputTokens ?? 0);
	}

	/**
	Counts the prompt tokens that a request holds. Each of those that use a shared part at once counts its share of it, so that all
	together count it once.
	*/
	function countPrompt(incarnation: string, {pool, promptTokens, parts}: SelectionCriteria): number {
		const holdMs = getHoldMs(poolHolds, pool);
		let tokens = promptTokens;
		for (const part of parts.slice(0, -1)) {
			tokens -= part.tokens * (1 - (1 / (1 + uses.count(incarnation, part.id, holdMs))));
		}

		return Math.max(0, tokens);
	}

	function fitLoad(node: string, row: LoadUpdate['loads'][number]): LoadUpdate['loads'][number] {
		const [incarnation, load] = row;
		const capacity = capacities.get(incarnation);
		const keptTokens = capacity === undefined ? load.memoryTokens : Math.min(load.memoryTokens, load.open * capacity);
		if (keptTokens === load.memoryTokens) {
			return row;
		}

		onImpossibleMemory?.({
			node, incarnation, toldTokens: load.memoryTokens, keptTokens,
		});
		return [incarnation, {...load, memoryTokens: keptTokens}];
	}

	return {
		setCapacity(incarnation, tokens) {
			if (isOn && tokens !== undefined) {
				capacities.set(incarnation, tokens);
			} else {
				capacities.delete(incarnation);
			}
		},
		countMemory(incarnation, criteria) {
			const capacity = capacities.get(incarnation);
			return capacity === undefined ? 0 : Math.round(Math.min(capacity, countPrompt(incarnation, criteria) + estimateOutput(criteria)));
		},
		predictRoom({incarnation, pool}, criteria) {
			const capacityTokens = capacities.get(incarnation);
			if (capacityTokens === undefined) {
				return undefined;
			}

			const load = loads.get(incarnation);
			const memoryTokens = Math.min(load.memoryTokens, load.open * capacityTokens);
			const tokens = Math.min(capacityTokens, countPrompt(incarnation, criteria));
			const growthTokens = Math.min(capacityTokens - tokens, estimateOutput(criteria));
			if (memoryTokens + tokens + growthTokens <= capacityTokens) {
				return {waitMs: 0, peakTokens: memoryTokens + tokens + growthTokens, overflowTokens: 0};
			}

			return predictRoom({
				capacityTokens,
				held: toHeldMemory({tokens: memoryTokens, requests: load.open, holdMs: getHoldMs(poolHolds, pool)}),
				request: {tokens, growthTokens, endsInMs: getHoldMs(classHolds, getClass(criteria))},
			});
		},
		recordPlacement(placement) {
			if (isOn) {
				uses.add(placement, getHoldMs(poolHolds, placement.pool));
			}
		},
		recordEnd(criteria, {memoryTokens, milliseconds, chunks}) {
			if (memoryTokens <= 0) {
				return;
			}

			outputs.record(getClass(criteria), {chunks, maximumTokens: criteria.maximumOutputTokens ?? 0});
			addHold(poolHolds, criteria.pool, memoryTokens, milliseconds);
			addHold(classHolds, getClass(criteria), memoryTokens, milliseconds);
		},
		fitLoads: (node, rows) => rows.map(row => fitLoad(node, row)),
		removeEndpoint(incarnation) {
			capacities.delete(incarnation);
			uses.removeEndpoint(incarnation);
		},
	};
}

function addHold(holds: Map<string, Holds>, name: string, tokens: number, milliseconds: number): void {
	const before = holds.get(name) ?? {tokens: 0, tokenMs: 0};
	holds.set(name, {tokens: (before.tokens * decay) + tokens, tokenMs: (before.tokenMs * decay) + (tokens * milliseconds)});
}

function getHoldMs(holds: ReadonlyMap<string, Holds>, name: string): number {
	const hold = holds.get(name);
	return hold === undefined ? initialHoldMs : Math.max(1, hold.tokenMs / hold.tokens);
}
