import type {ClassDemand} from './class-demand.ts';
import {planShares} from './plan-shares.ts';

type PlanClassSharesOptions = {
	readonly classes: readonly ClassDemand[];
	readonly capacity: number;
};

/**
 Divides a capacity over request classes: urgent ones first, then the floors of the others, then what is left by tier, and within a
 tier by weighted max-min fairness. The shares sum up to the capacity, or to all demands if these are smaller.

 @returns The share of each name.
 @example
 planClassShares({classes: [{name: 'c', demand: 9, weight: 1, tier: 1, isUrgent: false, floor: 0}, {name: 'd', demand: 9, weight: 1, tier: 2, isUrgent: false, floor: 0.1}], capacity: 10}).get('d'); // 1
 */
export function planClassShares({classes, capacity}: PlanClassSharesOptions): ReadonlyMap<string, number> {
	const others = classes.filter(({isUrgent}) => !isUrgent);
	const shares = planTiers(classes.filter(({isUrgent}) => isUrgent), capacity);
	const left = Math.max(0, capacity - addShares(shares));
	const floors = planShares({demands: others.map(other => ({...other, demand: Math.min(other.demand, other.floor * left)})), capacity: left});
	const rest = planTiers(others.map(other => ({...other, demand: other.demand - (floors.get(other.name) ?? 0)})), left - addShares(floors));
	for (const {name} of others) {
		shares.set(name, (floors.get(name) ?? 0) + (rest.get(name) ?? 0));
	}

	return shares;
}

function planTiers(classes: readonly ClassDemand[], capacity: number): Map<string, number> {
	const shares = new Map<string, number>();
	let left = Math.max(0, capacity);
	for (const tier of new Set(classes.map(({tier}) => tier).toSorted((a, b) => a - b))) {
		const planned = planShares({demands: classes.filter(({tier: own}) => own === tier), capacity: left});
		left -= addShares(planned);
		for (const [name, share] of planned) {
			shares.set(name, share);
		}
	}

	return shares;
}

function addShares(shares: ReadonlyMap<string, number>): number {
	return shares.values().reduce((sum, share) => sum + share, 0);
}
