import type {ClassView} from './class-view.ts';
import type {RankedClass} from './ranked-class.ts';

const wholeGrant = 1;

/**
 Orders the classes that wait: floors that are due, then urgent classes by priority, then the others by the tokens
 they were served over their weight. A floor grant goes to a slot beyond those that urgent work may use, so it never
 displaces urgent work.

 @example
 rankClasses(views)[0]; // {className: 'barrier', mode: 'urgent'}
 */
export function rankClasses(views: readonly ClassView[]): readonly RankedClass[] {
	const waiting = views.filter(view => view.waiting > 0);
	const due = waiting
		.filter(view => view.floorCredit >= wholeGrant)
		.toSorted((a, b) => b.floorCredit - a.floorCredit)
		.map(view => toTurn(view, 'floor'));
	const urgent = waiting
		.filter(view => view.requestClass.urgent)
		.toSorted((a, b) => a.requestClass.priority - b.requestClass.priority)
		.map(view => toTurn(view, 'urgent'));
	const shared = waiting
		.filter(view => !view.requestClass.urgent)
		.toSorted((a, b) => a.virtualTokens === b.virtualTokens ? a.requestClass.priority - b.requestClass.priority : a.virtualTokens - b.virtualTokens)
		.map(view => toTurn(view, 'shared'));
	return [...due, ...urgent, ...shared];
}

function toTurn(view: ClassView, mode: RankedClass['mode']): RankedClass {
	return {className: view.requestClass.name, mode};
}
