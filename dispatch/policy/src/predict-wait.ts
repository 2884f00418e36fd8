import {planShares, type ShareDemand} from '@valvesaddle/shares';
import type {WaitInput} from './wait-input.ts';
import type {WaitView} from './wait-view.ts';

/**
Lower bound of the slots for shared requests, so that the division stays finite.
*/
const minimumSharedSlots = 0.5;

/**
 Predicts how long a new request would wait for a slot, in milliseconds; `Infinity` if the pool has no slots. For an
 urgent class, only urgent classes of the same or a higher priority count, so that other requests never cause an urgent
 one to be refused.

 @example
 predictWait(input, views); // 1800
 */
export function predictWait(input: WaitInput, views: readonly WaitView[]): number {
	const own = views.find(view => view.requestClass.name === input.requestClass.name);
	if (own === undefined || input.slots <= 0) {
		return Infinity;
	}

	if (input.freeSlots > own.waiting) {
		return 0;
	}

	return input.requestClass.urgent ? predictUrgentWait(input, views) : predictSharedWait(input, own, views);
}

function predictUrgentWait({requestClass, slots}: WaitInput, views: readonly WaitView[]): number {
	let workMs = 0;
	for (const view of views) {
		if (view.requestClass.urgent && view.requestClass.priority <= requestClass.priority) {
			workMs += (view.waiting + (view.requestClass.name === requestClass.name ? 1 : 0)) * view.holdMs;
		}
	}

	return workMs / slots;
}

function predictSharedWait(input: WaitInput, own: WaitView, views: readonly WaitView[]): number {
	let urgentWorkMs = 0;
	const demands: ShareDemand[] = [];
	for (const view of views) {
		if (view.requestClass.urgent) {
			urgentWorkMs += view.waiting * view.holdMs;
		} else if (view === own || view.waiting > 0) {
			demands.push({name: view.requestClass.name, demand: Infinity, weight: view.requestClass.weight});
		}
	}

	const {requestClass, slots} = input;
	const sharedSlots = Math.max(minimumSharedSlots, slots - input.urgentSlots);
	const classSlots = Math.max(requestClass.floor * slots, planShares({demands, capacity: sharedSlots}).get(requestClass.name) ?? 0);
	const ahead = Math.min(own.waiting, input.accountWaiting * input.accountShares);
	return (urgentWorkMs / slots) + (((ahead + 1) * own.holdMs) / classSlots);
}
