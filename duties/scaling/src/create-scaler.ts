import type {DutyAnswer, ReplicaOrder} from '@valvesaddle/duty-types';
import type {PoolScaling, ServicePool} from '@valvesaddle/gateway-types';
import {createNeedEstimator} from './create-need-estimator.ts';
import {createOrderPlanner} from './create-order-planner.ts';
import type {NeedEstimator} from './need-estimator.ts';
import type {OrderPlanner} from './order-planner.ts';
import type {Scaler} from './scaler.ts';
import type {ScalerOptions} from './scaler-options.ts';

/**
Targets are multiples of this number, so that small changes of load cause no orders.
*/
const replicaStep = 8;

type PoolState = {
	readonly estimator: NeedEstimator;
	readonly planner: OrderPlanner;
	target: number;
	needed: number;
};

/**
 Creates the scaler, which orders replicas for each pool's load. Orders can't be read back from the platform, so it compares the
 target with the endpoints that are listed. After an order without an answer it raises the fencing token before it sends the next one.

 @example
 const scaler = createScaler(options);
 await scaler.update();
 */
export function createScaler(options: ScalerOptions): Scaler {
	const {platform, logger, metrics} = options;
	const pools = new Map<string, PoolState>();
	let hasUnansweredOrder = false;

	function getState(pool: string, scaling: PoolScaling): PoolState {
		const state = pools.get(pool) ?? {
			estimator: createNeedEstimator({minimumReplicas: Math.ceil(countMaximum(scaling) * options.minimumShare)}), planner: createOrderPlanner(), target: 0, needed: 0,
		};
		pools.set(pool, state);
		return state;
	}

	function updateWanted(pool: string, scaling: PoolScaling, state: PoolState): void {
		const load = options.measurePoolLoad(pool);
		const {count, needed, tokensPerS, reason} = state.estimator.update(load);
		state.needed = needed;
		const target = Math.min(countMaximum(scaling), Math.ceil(count / replicaStep) * replicaStep);
		if (target === state.target) {
			return;
		}

		state.target = target;
		logger.info({
			name: 'replicas-wanted', pool, count: target, ready: options.countReady(pool).reduce((sum, one) => sum + one.count, 0), open: Math.round(load.open), tokensPerS: Math.round(tokensPerS), reason,
		});
	}

	const answerHandlers: Readonly<Record<DutyAnswer, (order: ReplicaOrder, planner: OrderPlanner) => Promise<void>>> = {
		async accepted(order, planner) {
			planner.markAccepted(order);
		},
		async refused(order, planner) {
			if (await options.confirm()) {
				planner.markUnavailable(order);
			}
		},
		async busy() {
			// The order stays due.
		},
		async rejected(order, planner) {
			// The same order would be rejected again.
			planner.markAccepted(order);
		},
		async unknown(order, planner) {
			planner.markUnknown(order);
			hasUnansweredOrder = true;
		},
	};

	async function sendOrder(order: ReplicaOrder, planner: OrderPlanner): Promise<void> {
		hasUnansweredOrder &&= await options.raiseToken() === undefined;

		const proof = options.getProof();
		if (proof === undefined || hasUnansweredOrder) {
			return;
		}

		const answer = await platform.orderReplicas(order, proof);
		metrics.increment('duties.orders', 1, {answer});
		logger.info({
			name: 'replicas-ordered', ...order, ready: options.countReady(order.pool).find(one => one.dataCentre === order.dataCentre && one.isSpot === order.isSpot)?.count ?? 0, token: proof.token, answer,
		});
		await answerHandlers[answer](order, planner);
	}

	async function updatePool({name: pool, scaling}: ServicePool): Promise<void> {
		if (scaling === undefined) {
			return;
		}

		const state = getState(pool, scaling);
		updateWanted(pool, scaling, state);
		for (const order of state.planner.list({
			pool, scaling, count: state.target, needed: state.needed, ready: options.countReady(pool),
		})) {
			// eslint-disable-next-line no-await-in-loop -- orders are sent in turn: each may need a higher token
			await sendOrder(order, state.planner);
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
			hasUnansweredOrder = false;
		},
	};
}

/**
Returns the maximum number of replicas in all data centres.
*/
function countMaximum({most, prices}: PoolScaling): number {
	return most * Object.keys(prices).length;
}
