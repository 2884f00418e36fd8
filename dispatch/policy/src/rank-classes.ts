import type {ClassView} from './class-view.ts';
import type {RankedClass} from './ranked-class.ts';

const dueCredit = 1;

/**
 Orders the classes with waiting requests: floors that are due, then urgent classes by priority, then the others by
 served tokens in proportion to their weight. A floor grant takes no slot away from urgent requests.

 @example
 rankClasses(views)[0]; // {className: 'barrier', mode: 'urgent'}
 */
export function rankClasses(views: readonly ClassView[]): readonly RankedClass[] {
	const waiting = views.filter(view => view.waiting > 0);
	const due = waiting
		.filter(view => view.floorCredit >= dueCredit)
		.toSorted((a, b) => b.floorCredit - a.floorCredit)
		.map(view => toRankedClass(view, 'floor'));
	const urgent = waiting
		.filter(view => view.requestClass.urgent)
		.toSorted((a, b) => a.requestClass.priority - b.requestClass.priority)
		.map(view => toRankedClass(view, 'urgent'));
	const shared = waiting
		.filter(view => !view.requestClass.urgent)
		.toSorted((a, b) => a.virtualTokens === b.virtualTokens ? a.requestClass.priority - b.requestClass.priority : a.virtualTokens - b.virtualTokens)
		.map(view => toRankedClass(view, 'shared'));
	return [...due, ...urgent, ...shared];
}

function toRankedClass(view: ClassView, mode: RankedClass['mode']): RankedClass {
	return {className: view.requestClass.name, mode};
}
