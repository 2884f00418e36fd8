import {Clock} from 'clock-mock';
import {test} from 'tap';
import {createNeedEstimator, createOrderPlanner, type ReplicaCount} from '@valvesaddle/duty-scaling';

const scaling = {
	least: 1, most: 20, bootMs: 4000, spotPrice: 0.2, prices: {a: 1, b: 1},
};

function toReady(onDemand: number, spot: number): readonly ReplicaCount[] {
	return ['a', 'b'].flatMap(dataCentre => [{dataCentre, isSpot: false, count: onDemand}, {dataCentre, isSpot: true, count: spot}]);
}

test('queued prefill raises the demand before open requests do, and the demand falls only after the hold time', t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	const estimator = createNeedEstimator({minimumReplicas: 8});
	const calm = {
		open: 10, placedTokens: 0, tokensPerMs: 50, slots: 12,
	};
	t.equal(estimator.update(calm).count, 8);
	clock.advance(500);
	const burst = estimator.update({...calm, placedTokens: 500_000});
	t.equal(burst.reason, 'reading');
	t.ok(burst.count > 40, `${burst.count}`);
	clock.advance(10_000);
	t.equal(estimator.update({...calm, placedTokens: 500_000}).count, burst.count, 'held');
	clock.advance(6000);
	t.equal(estimator.update({...calm, placedTokens: 500_000}).count, 8);
	t.end();
});

test('on-demand replicas are removed only when the target is ready without them', t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	const planner = createOrderPlanner();
	const input = {
		pool: 'p', scaling, count: 20, needed: 10,
	};
	const first = planner.list({...input, ready: toReady(10, 0)});
	t.match(first.filter(({isSpot}) => isSpot), [{dataCentre: 'a', count: 10}, {dataCentre: 'b', count: 10}], 'the limit covers both kinds');
	t.match(first.filter(({isSpot}) => !isSpot), [{count: 10}, {count: 10}], 'none is removed yet');
	for (const order of first) {
		planner.markAccepted(order);
	}

	const second = planner.list({...input, ready: toReady(10, 9)});
	t.equal(second.reduce((sum, {isSpot, count}) => sum + (isSpot ? 0 : count), 0), 2, 'all but the minimum are removed');
	t.end();
});

test('spot replicas are ordered again after a delay where there were none, and other data centres run more until then', t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	const planner = createOrderPlanner();
	const input = {
		pool: 'p', scaling, count: 20, needed: 10, ready: toReady(1, 0),
	};
	const [order] = planner.list(input);
	t.match(order, {dataCentre: 'a', isSpot: true, count: 18});
	if (order !== undefined) {
		planner.markUnavailable(order);
	}

	t.match(planner.list(input).find(({dataCentre, isSpot}) => dataCentre === 'b' && isSpot), {count: 19});
	clock.advance(5000);
	t.match(planner.list(input).find(({dataCentre, isSpot}) => dataCentre === 'a' && isSpot), {count: 18});
	t.end();
});

test('reclaimed replicas are ordered again, but not before the boot time of the previous order is over', t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	const planner = createOrderPlanner();
	const input = {
		pool: 'p', scaling, count: 20, needed: 10, ready: toReady(1, 0),
	};
	for (const order of planner.list(input)) {
		planner.markAccepted(order);
	}

	t.same(planner.list(input), []);
	clock.advance(7000);
	t.same(planner.list({...input, ready: toReady(1, 18)}), []);
	t.match(planner.list(input), [{dataCentre: 'a', isSpot: true, count: 18}, {dataCentre: 'b', isSpot: true, count: 18}]);
	t.end();
});
