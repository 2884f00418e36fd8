import type {DutyAnswer, ReplicaOrder} from '@valvesaddle/duty-types';
import type {PoolScaling, ServicePool} from '@valvesaddle/gateway-types';
import {createNeedEstimator} from './create-need-estimator.ts';
import {createOrderPlanner} from './create-order-planner.ts';
import type {NeedEstimator} from './need-estimator.ts';
import type {OrderPlanner} from './order-planner.ts';
import type {Scaler} from './scaler.ts';
import type {ScalerOptions} from './scaler-options.ts';

/**
Replicas by which a wanted number goes up or down at a time, so that small changes of the work give no orders.
*/
const stepReplicas = 8;

type PoolState = {
	readonly needs: NeedEstimator;
	readonly orders: OrderPlanner;
	wanted: number;
	needed: number;
};

/**
 Creates the giver of orders for replicas. Nothing can be read back, so it goes by the replicas that are listed; after an order
 without an answer it takes a higher token before the next one.

 @example
 const scaler = createScaler(options);
 await scaler.update();
 */
export function createScaler(options: ScalerOptions): Scaler {
	const {platform, logger, metrics} = options;
	const pools = new Map<string, PoolState>();
	let isUncertain = false;

	function getState(pool: string, scaling: PoolScaling): PoolState {
		const state = pools.get(pool) ?? {
			needs: createNeedEstimator({minimumReplicas: Math.ceil(countMost(scaling) * options.minimumShare)}), orders: createOrderPlanner(), wanted: 0, needed: 0,
		};
		pools.set(pool, state);
		return state;
	}

	function updateWanted(pool: string, scaling: PoolScaling, state: PoolState): void {
		const work = options.measurePoolLoad(pool);
		const {count, needed, tokensPerS, reason} = state.needs.update(work);
		state.needed = needed;
		const wanted = Math.min(countMost(scaling), Math.ceil(count / stepReplicas) * stepReplicas);
		if (wanted === state.wanted) {
			return;
		}

		state.wanted = wanted;
		logger.info({
			name: 'replicas-wanted', pool, count: wanted, ready: options.countReady(pool).reduce((sum, one) => sum + one.count, 0), open: Math.round(work.open), tokensPerS: Math.round(tokensPerS), reason,
		});
	}

	const settlers: Readonly<Record<DutyAnswer, (order: ReplicaOrder, orders: OrderPlanner) => Promise<void>>> = {
		async accepted(order, orders) {
			orders.markAccepted(order);
		},
		async refused(order, orders) {
			if (await options.confirm()) {
				orders.markUnavailable(order);
			}
		},
		async busy() {
			// It is due again.
		},
		async rejected(order, orders) {
			// The same order would be rejected again.
			orders.markAccepted(order);
		},
		async unknown(order, orders) {
			orders.markUnknown(order);
			isUncertain = true;
		},
	};

	async function sendOrder(order: ReplicaOrder, orders: OrderPlanner): Promise<void> {
		isUncertain &&= await options.raiseToken() === undefined;

		const proof = options.getProof();
		if (proof === undefined || isUncertain) {
			return;
		}

		const answer = await platform.orderReplicas(order, proof);
		metrics.increment('duties.orders', 1, {answer});
		logger.info({
			name: 'replicas-ordered', ...order, ready: options.countReady(order.pool).find(one => one.dataCentre === order.dataCentre && one.isSpot === order.isSpot)?.count ?? 0, token: proof.token, answer,
		});
		await settlers[answer](order, orders);
	}

	async function updatePool({name: pool, scaling}: ServicePool): Promise<void> {
		if (scaling === undefined) {
			return;
		}

		const state = getState(pool, scaling);
		updateWanted(pool, scaling, state);
		for (const order of state.orders.list({
			pool, scaling, count: state.wanted, needed: state.needed, ready: options.countReady(pool),
		})) {
			// eslint-disable-next-line no-await-in-loop -- one order after the other: each may need a higher token
			await sendOrder(order, state.orders);
		}
	}

	return {
		async update() {
			for (const pool of options.listPools()) {
				// eslint-disable-next-line no-await-in-loop -- one pool after the other
				await updatePool(pool);
			}
		},
		start() {
			pools.clear();
			isUncertain = false;
		},
	};
}

/**
Replicas that are allowed in all data centres together.
*/
function countMost({most, prices}: PoolScaling): number {
	return most * Object.keys(prices).length;
}
