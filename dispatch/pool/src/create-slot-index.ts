import {
	hasSlot,
	type EndpointRequirements,
	type EndpointView,
	type GrantMode,
} from '@valvesaddle/policy';
import type {SlotIndex} from './slot-index.ts';

const modes: readonly GrantMode[] = ['urgent', 'shared', 'floor'];
/**
A configuration allows no larger floor, so an endpoint without a slot under this one has none under any.
*/
const largestFloor = 0.3;

type Needs = Readonly<Record<GrantMode, EndpointRequirements>>;

/**
 Creates an empty index of slots.

 @example
 const index = createSlotIndex();
 index.set(view);
 index.candidates('shared');
 */
export function createSlotIndex(): SlotIndex {
	const views = new Map<string, EndpointView>();
	const free: Readonly<Record<GrantMode, Map<string, EndpointView>>> = {urgent: new Map(), shared: new Map(), floor: new Map()};
	let headroom = 0;
	let needs = createNeeds(headroom);

	function update(view: EndpointView): void {
		for (const mode of modes) {
			if (hasSlot(view, needs[mode])) {
				free[mode].set(view.id, view);
			} else {
				free[mode].delete(view.id);
			}
		}
	}

	return {
		set(view) {
			views.set(view.id, view);
			update(view);
		},
		remove(endpointId) {
			views.delete(endpointId);
			for (const mode of modes) {
				free[mode].delete(endpointId);
			}
		},
		setHeadroom(next) {
			if (next === headroom) {
				return;
			}

			headroom = next;
			needs = createNeeds(headroom);
			for (const view of views.values()) {
				update(view);
			}
		},
		candidates: mode => free[mode].values(),
	};
}

/**
For each rule the need that most endpoints can meet.
*/
function createNeeds(headroom: number): Needs {
	const widest: Omit<EndpointRequirements, 'mode'> = {
		headroom, floor: largestFloor, promptTokens: 0, dataCentre: '', sessionEndpoint: undefined, avoid: [], mayProbe: true,
	};
	return {urgent: {...widest, mode: 'urgent'}, shared: {...widest, mode: 'shared'}, floor: {...widest, mode: 'floor'}};
}
