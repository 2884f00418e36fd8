import type {ShareDemand} from './share-demand.ts';

type PlanSharesOptions = {
	readonly demands: readonly ShareDemand[];
	readonly capacity: number;
};

/**
 Divides a capacity by weighted max-min fairness: whoever wants less than its part gets all it wants, and the others share the
 rest by weight. The shares sum up to the capacity, or to all demands if these are smaller.

 @returns The share of each name.
 @example
 planShares({demands: [{name: 'a', demand: 2, weight: 1}, {name: 'b', demand: 90, weight: 1}], capacity: 10}).get('b'); // 8
 */
export function planShares({demands, capacity}: PlanSharesOptions): ReadonlyMap<string, number> {
	const shares = new Map<string, number>();
	let left = Math.max(0, capacity);
	let weights = demands.reduce((sum, {weight}) => sum + weight, 0);
	for (const {name, demand, weight} of demands.toSorted(compareNeeds)) {
		const share = Math.min(demand, left * Math.min(1, weight / weights));
		shares.set(name, share);
		left = Math.max(0, left - share);
		weights -= weight;
	}

	return shares;
}

function compareNeeds(a: ShareDemand, b: ShareDemand): number {
	const [need, otherNeed] = [a.demand / a.weight, b.demand / b.weight];
	return need === otherNeed ? 0 : need - otherNeed;
}
