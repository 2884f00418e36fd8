import type {WaitInput} from './wait-input.ts';
import type {WaitView} from './wait-view.ts';

/**
Slots below which a pool is taken as having none for shared work; keeps the division sane.
*/
const fewestSlots = 0.5;

/**
 Predicts how long a new request would wait for a slot, in milliseconds. Only work that goes before it counts: for an
 urgent class the urgent classes of the same or a higher priority, so urgent work is never refused on account of
 lower work.

 @example
 predictWait(question, views); // 1800
 */
export function predictWait(question: WaitInput, views: readonly WaitView[]): number {
	const own = views.find(view => view.requestClass.name === question.requestClass.name);
	if (own === undefined || question.slots <= 0) {
		return Infinity;
	}

	if (question.freeSlots > own.waiting) {
		return 0;
	}

	return question.requestClass.urgent ? predictUrgentWait(question, views) : predictSharedWait(question, own, views);
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

function predictSharedWait(question: WaitInput, own: WaitView, views: readonly WaitView[]): number {
	let urgentWorkMs = 0;
	let weights = 0;
	for (const view of views) {
		if (view.requestClass.urgent) {
			urgentWorkMs += view.waiting * view.holdMs;
		} else if (view === own || view.waiting > 0) {
			weights += view.requestClass.weight;
		}
	}

	const {requestClass, slots} = question;
	const left = Math.max(fewestSlots, slots - question.urgentSlots);
	const classSlots = Math.max(requestClass.floor * slots, left * (requestClass.weight / weights));
	const ahead = Math.min(own.waiting, question.accountWaiting * question.accountShares);
	return (urgentWorkMs / slots) + (((ahead + 1) * own.holdMs) / classSlots);
}
