import type {PoolScaling} from '@valvesaddle/gateway-types';
import type {ReplicaPlan} from './replica-plan.ts';

type PlanInput = {
	/**
	Target number of replicas of both kinds, which must remain when any one data centre loses its spot replicas.
	*/
	readonly count: number;
	/**
	Replicas that the current load needs; `count` also covers the recent peak.
	*/
	readonly needed: number;
	readonly scaling: PoolScaling;
	/**
	Maximum number of spot replicas in each data centre that has no spare spot capacity.
	*/
	readonly spotLimits: ReadonlyMap<string, number>;
};

type Candidate = {
	readonly dataCentre: string;
	readonly price: number;
	readonly maximum: number;
};

/**
 Plans the number of on-demand and spot replicas in each data centre. Each data centre runs its minimum as on-demand replicas,
 which remain when its spot replicas are reclaimed. The others are spot replicas, spread evenly, with a reserve for the loss of all
 spot replicas of one data centre. Missing spot replicas are replaced by on-demand ones only as far as the current load needs them.

 @example
 planReplicas({count: 8, needed: 2, scaling, withoutSpot: new Map()}); // [{dataCentre: 'a', onDemand: 1, spot: 6}, {dataCentre: 'b', onDemand: 1, spot: 6}]
 */
export function planReplicas({count, needed, scaling, spotLimits}: PlanInput): readonly ReplicaPlan[] {
	const {least, most, spotPrice} = scaling;
	const candidates = Object.entries(scaling.prices).map(([dataCentre, price]): Candidate => ({dataCentre, price, maximum: most - least}));
	const flexible = Math.max(0, count - (candidates.length * least));
	// Equal prices spread spot replicas evenly, which limits the loss in any one data centre.
	const spotCandidates = candidates.map(candidate => ({
		...candidate, price: 1, maximum: spotPrice === undefined ? 0 : Math.min(candidate.maximum, spotLimits.get(candidate.dataCentre) ?? candidate.maximum),
	}));
	const spot = planAllocation(spotCandidates, flexible + measureSpotReserve(candidates.length, flexible));
	const missing = Math.min(count, needed) - (candidates.length * least) - countTotal(spot);
	const onDemand = planAllocation(candidates.map((candidate, index) => ({...candidate, maximum: candidate.maximum - (spot[index] ?? 0)})), missing);
	return candidates.map(({dataCentre}, index) => ({dataCentre, onDemand: least + (onDemand[index] ?? 0), spot: spot[index] ?? 0}));
}

/**
Allocates replicas one by one, each to the candidate with the lowest weight.
*/
function planAllocation(candidates: readonly Candidate[], count: number): readonly number[] {
	const allocated = candidates.map(() => 0);
	for (let remaining = count; remaining > 0; remaining--) {
		const index = findCheapest(candidates, allocated);
		if (index === undefined) {
			break;
		}

		allocated[index] = (allocated[index] ?? 0) + 1;
	}

	return allocated;
}

/**
Returns the index of the candidate with the lowest price for its next number of replicas; `undefined` when all are at their maximum.
*/
function findCheapest(candidates: readonly Candidate[], allocated: readonly number[]): number | undefined {
	let cheapest: number | undefined;
	let lowestWeight = Infinity;
	for (const [index, {price, maximum}] of candidates.entries()) {
		const count = allocated[index] ?? 0;
		const weight = count < maximum ? (count + 1) * price : Infinity;
		if (weight >= lowestWeight) {
			continue;
		}

		cheapest = index;
		lowestWeight = weight;
	}

	return cheapest;
}

/**
Returns the additional spot replicas that make up for the loss of one data centre; 0 with a single data centre.
*/
function measureSpotReserve(dataCentres: number, flexible: number): number {
	return dataCentres <= 1 ? 0 : Math.ceil(flexible / (dataCentres - 1));
}

function countTotal(counts: readonly number[]): number {
	let total = 0;
	for (const count of counts) {
		total += count;
	}

	return total;
}
