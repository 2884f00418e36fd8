import type {ReplicaOrder} from '@valvesaddle/duty-types';
import type {OrderPlanner} from './order-planner.ts';
import type {OrderInput} from './order-input.ts';
import {planReplicas} from './plan-replicas.ts';
import type {ReplicaCount} from './replica-count.ts';
import type {ReplicaPlan} from './replica-plan.ts';

type Ordered = {
	readonly count: number;
	readonly at: number;
};

/**
How long a data centre that had no spot replicas is left out, in milliseconds.
*/
const withoutSpotMs = 4000;
/**
Time beside that of the start until ordered replicas ought to be listed, in milliseconds.
*/
const listedMs = 2500;

/**
 Creates the book of a pool's orders. Replicas go only when what is wanted serves without them.

 @example
 const book = createOrderBook();
 const [order] = book.list({pool: 'drafting', scaling, count: 40, needed: 12, ready});
 */
export function createOrderPlanner(): OrderPlanner {
	const ordered = new Map<string, Ordered>();
	const noneUntil = new Map<string, number>();

	function listWithoutSpot({ready}: OrderInput): ReadonlyMap<string, number> {
		const now = performance.now();
		const places = noneUntil.entries().filter(([, until]) => now < until).map(([dataCentre]) => dataCentre);
		return new Map(places.map(place => [place, getReady(ready, place, true)]));
	}

	/**
	An order that stands is given again when by now another number serves: some may have been reclaimed, or an older order may have
	been carried out after it.
	*/
	function isDue({pool, dataCentre, isSpot, count}: ReplicaOrder, ready: number, bootMs: number): boolean {
		const before = ordered.get(toKey({pool, dataCentre, isSpot}));
		const now = performance.now();
		return before?.count !== count || (ready !== count && now - before.at > bootMs + listedMs);
	}

	function listOrders({dataCentre, onDemand: usual, spot}: ReplicaPlan, question: OrderInput, surplus: number, withoutSpot: ReadonlyMap<string, number>): readonly ReplicaOrder[] {
		const {pool, ready, scaling} = question;
		const usualReady = getReady(ready, dataCentre, false);
		// What still serves of the usual ones takes places of the limit for both.
		const spotOrder = {
			pool, dataCentre, isSpot: true, count: Math.min(spot, Math.max(0, scaling.most - usualReady)),
		};
		const usualOrder = {
			pool, dataCentre, isSpot: false, count: Math.max(usual, usualReady - Math.max(0, surplus)),
		};
		const spotReady = getReady(ready, dataCentre, true);
		return [
			// Those that serve stay; an order for more would be refused again.
			...(!withoutSpot.has(dataCentre) && isDue(spotOrder, spotReady, scaling.bootMs) ? [spotOrder] : []),
			...(isDue(usualOrder, usualReady, scaling.bootMs) ? [usualOrder] : []),
		];
	}

	return {
		list(question) {
			const {scaling, count, needed, ready} = question;
			const withoutSpot = listWithoutSpot(question);
			const plan = planReplicas({
				count, needed, scaling, spotLimits: withoutSpot,
			});
			let surplus = ready.reduce((sum, one) => sum + one.count, 0) - count;
			return plan.flatMap(place => {
				const orders = listOrders(place, question, surplus, withoutSpot);
				const usualReady = getReady(ready, place.dataCentre, false);
				surplus -= Math.max(0, Math.min(surplus, usualReady - place.onDemand));
				return orders;
			});
		},
		markAccepted(order) {
			ordered.set(toKey(order), {count: order.count, at: performance.now()});
		},
		markUnknown(order) {
			ordered.delete(toKey(order));
		},
		markUnavailable(order) {
			if (order.isSpot) {
				noneUntil.set(order.dataCentre, performance.now() + withoutSpotMs);
			}
		},
	};
}

function getReady(ready: readonly ReplicaCount[], dataCentre: string, isSpot: boolean): number {
	return ready.find(one => one.dataCentre === dataCentre && one.isSpot === isSpot)?.count ?? 0;
}

function toKey({pool, dataCentre, isSpot}: Pick<ReplicaOrder, 'pool' | 'dataCentre' | 'isSpot'>): string {
	return `${pool} ${dataCentre} ${isSpot}`;
}
