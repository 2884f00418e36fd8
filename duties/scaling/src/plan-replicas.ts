import type {PoolScaling} from '@valvesaddle/gateway-types';
import type {ReplicaPlan} from './replica-plan.ts';

type PlanInput = {
	/**
	Replicas of both kinds that are wanted; so many are left when any one data centre loses its spot replicas.
	*/
	readonly count: number;
	/**
	Replicas that the work needs now; more are wanted for what may come.
	*/
	readonly needed: number;
	readonly scaling: PoolScaling;
	/**
	Data centres that have no more spot replicas at the moment, and how many serve there.
	*/
	readonly spotLimits: ReadonlyMap<string, number>;
};

type Place = {
	readonly dataCentre: string;
	readonly price: number;
	readonly most: number;
};

/**
 Plans where replicas run, and of which kind. Each data centre keeps as many usual ones as it must have at the least, so that a
 reclaim of its spot replicas leaves it something; all others are spot, spread evenly over the data centres, with so many more
 that the loss of those of any one leaves what is wanted; usual ones, which cost several times as much, stand in only for what
 the work needs now.

 @example
 planReplicas({count: 8, needed: 2, scaling, withoutSpot: new Map()}); // [{dataCentre: 'a', onDemand: 1, spot: 6}, {dataCentre: 'b', onDemand: 1, spot: 6}]
 */
export function planReplicas({count, needed, scaling, spotLimits: withoutSpot}: PlanInput): readonly ReplicaPlan[] {
	const {least, most, spotPrice} = scaling;
	const places = Object.entries(scaling.prices).map(([dataCentre, price]): Place => ({dataCentre, price, most: most - least}));
	const wanted = Math.max(0, count - (places.length * least));
	// Evenly: what one data centre loses counts, not what it costs.
	const spotPlaces = places.map(place => ({...place, price: 1, most: spotPrice === undefined ? 0 : Math.min(place.most, withoutSpot.get(place.dataCentre) ?? place.most)}));
	const spot = planSpread(spotPlaces, wanted + measureSpare(places.length, wanted));
	const missing = Math.min(count, needed) - (places.length * least) - countAll(spot);
	const usual = planSpread(places.map((place, index) => ({...place, most: place.most - (spot[index] ?? 0)})), missing);
	return places.map(({dataCentre}, index) => ({dataCentre, onDemand: least + (usual[index] ?? 0), spot: spot[index] ?? 0}));
}

/**
Gives one after the other to the place that has the fewest for its price.
*/
function planSpread(places: readonly Place[], count: number): readonly number[] {
	const given = places.map(() => 0);
	for (let left = count; left > 0; left--) {
		const index = findCheapest(places, given);
		if (index === undefined) {
			break;
		}

		given[index] = (given[index] ?? 0) + 1;
	}

	return given;
}

/**
The place with room that has the fewest for its price; `undefined` when all are full.
*/
function findCheapest(places: readonly Place[], given: readonly number[]): number | undefined {
	let cheapest: number | undefined;
	let leastWeight = Infinity;
	for (const [index, {price, most}] of places.entries()) {
		const count = given[index] ?? 0;
		const weight = count < most ? (count + 1) * price : Infinity;
		if (weight >= leastWeight) {
			continue;
		}

		cheapest = index;
		leastWeight = weight;
	}

	return cheapest;
}

/**
Spot replicas beyond those that are wanted, so that all but those of one data centre are enough; one alone has nothing to spare.
*/
function measureSpare(places: number, wanted: number): number {
	return places <= 1 ? 0 : Math.ceil(wanted / (places - 1));
}

function countAll(counts: readonly number[]): number {
	let total = 0;
	for (const count of counts) {
		total += count;
	}

	return total;
}
