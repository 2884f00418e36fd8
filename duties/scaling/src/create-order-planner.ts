import type {ReplicaOrder} from '@valvesaddle/duty-types';
import type {OrderPlanner} from './order-planner.ts';
import type {OrderInput} from './order-input.ts';
import {planReplicas} from './plan-replicas.ts';
import type {ReplicaCount} from './replica-count.ts';
import type {ReplicaPlan} from './replica-plan.ts';

type AcceptedOrder = {
	readonly count: number;
	readonly at: number;
};

/**
Delay before spot replicas are ordered again in a data centre that had none.
*/
const spotRetryDelayMs = 4000;
/**
Time allowed after booting until new replicas are listed.
*/
const listingDelayMs = 2500;

/**
 Creates the order planner of a pool. It removes on-demand replicas only while more replicas than the target are ready.

 @example
 const planner = createOrderPlanner();
 const [order] = planner.list({pool: 'drafting', scaling, count: 40, needed: 12, ready});
 */
export function createOrderPlanner(): OrderPlanner {
	const accepted = new Map<string, AcceptedOrder>();
	const spotRetryAt = new Map<string, number>();

	function listSpotLimits({ready}: OrderInput): ReadonlyMap<string, number> {
		const now = performance.now();
		const dataCentres = spotRetryAt.entries().filter(([, retryAt]) => now < retryAt).map(([dataCentre]) => dataCentre);
		return new Map(dataCentres.map(dataCentre => [dataCentre, getReady(ready, dataCentre, true)]));
	}

	/**
	Whether an order is new, or has to be repeated since the number of ready replicas still differs after the boot time: replicas may
	have been reclaimed, or an earlier order may have been carried out late.
	*/
	function isDue({pool, dataCentre, isSpot, count}: ReplicaOrder, ready: number, bootMs: number): boolean {
		const previous = accepted.get(toKey({pool, dataCentre, isSpot}));
		const now = performance.now();
		return previous?.count !== count || (ready !== count && now - previous.at > bootMs + listingDelayMs);
	}

	function listOrders({dataCentre, onDemand, spot}: ReplicaPlan, input: OrderInput, surplus: number, spotLimits: ReadonlyMap<string, number>): readonly ReplicaOrder[] {
		const {pool, ready, scaling} = input;
		const onDemandReady = getReady(ready, dataCentre, false);
		// The limit covers both kinds, so on-demand replicas that are still ready reduce the room for spot ones.
		const spotOrder = {
			pool, dataCentre, isSpot: true, count: Math.min(spot, Math.max(0, scaling.most - onDemandReady)),
		};
		const onDemandOrder = {
			pool, dataCentre, isSpot: false, count: Math.max(onDemand, onDemandReady - Math.max(0, surplus)),
		};
		const spotReady = getReady(ready, dataCentre, true);
		return [
			// Spot replicas that are ready stay; an order for more would be refused again.
			...(!spotLimits.has(dataCentre) && isDue(spotOrder, spotReady, scaling.bootMs) ? [spotOrder] : []),
			...(isDue(onDemandOrder, onDemandReady, scaling.bootMs) ? [onDemandOrder] : []),
		];
	}

	return {
		list(input) {
			const {scaling, count, needed, ready} = input;
			const spotLimits = listSpotLimits(input);
			const plans = planReplicas({
				count, needed, scaling, spotLimits,
			});
			let surplus = ready.reduce((sum, one) => sum + one.count, 0) - count;
			return plans.flatMap(plan => {
				const orders = listOrders(plan, input, surplus, spotLimits);
				const onDemandReady = getReady(ready, plan.dataCentre, false);
				surplus -= Math.max(0, Math.min(surplus, onDemandReady - plan.onDemand));
				return orders;
			});
		},
		markAccepted(order) {
			accepted.set(toKey(order), {count: order.count, at: performance.now()});
		},
		markUnknown(order) {
			accepted.delete(toKey(order));
		},
		markUnavailable(order) {
			if (order.isSpot) {
				spotRetryAt.set(order.dataCentre, performance.now() + spotRetryDelayMs);
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
