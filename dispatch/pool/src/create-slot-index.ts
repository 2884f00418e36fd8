import {
	hasSlot,
	type EndpointRequirements,
	type EndpointView,
	type GrantMode,
} from '@valvesaddle/policy';
import type {SlotIndex} from './slot-index.ts';

const modes: readonly GrantMode[] = ['urgent', 'shared', 'floor'];
/**
Maximum floor that a configuration allows; an endpoint without a slot at this floor has none at a smaller one.
*/
const maximumFloor = 0.3;

type RequirementsByMode = Readonly<Record<GrantMode, EndpointRequirements>>;

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
	let requirements = createRequirements(headroom);

	function update(view: EndpointView): void {
		for (const mode of modes) {
			if (hasSlot(view, requirements[mode])) {
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
			requirements = createRequirements(headroom);
			for (const view of views.values()) {
				update(view);
			}
		},
		candidates: mode => free[mode].values(),
	};
}

/**
Creates the loosest requirements of each grant mode.
*/
function createRequirements(headroom: number): RequirementsByMode {
	const loosest: Omit<EndpointRequirements, 'mode'> = {
		headroom, floor: maximumFloor, promptTokens: 0, dataCentre: '', sessionEndpoint: undefined, avoid: [], mayProbe: true,
	};
	return {urgent: {...loosest, mode: 'urgent'}, shared: {...loosest, mode: 'shared'}, floor: {...loosest, mode: 'floor'}};
}
