import {test} from 'tap';
import {planReplicas} from '@valvesaddle/duty-scaling';

const scaling = {
	least: 1, most: 10, bootMs: 4000, spotPrice: 0.2, prices: {a: 1, b: 0.5},
};

test('each data centre keeps its minimum as on-demand replicas, and the loss of one data centre\'s spot replicas leaves the target', t => {
	const plans = planReplicas({
		count: 11, needed: 0, scaling: {...scaling, prices: {a: 1, b: 0.5, c: 2}}, spotLimits: new Map(),
	});
	t.same(plans, [
		{dataCentre: 'a', onDemand: 1, spot: 4},
		{dataCentre: 'b', onDemand: 1, spot: 4},
		{dataCentre: 'c', onDemand: 1, spot: 4},
	]);
	for (const {spot} of plans) {
		t.ok(15 - spot >= 11);
	}

	t.end();
});

test('other data centres and on-demand replicas make up for a data centre without spot replicas', t => {
	t.same(planReplicas({
		count: 16, needed: 16, scaling, spotLimits: new Map([['b', 0]]),
	}), [
		{dataCentre: 'a', onDemand: 1, spot: 9},
		{dataCentre: 'b', onDemand: 6, spot: 0},
	]);
	t.same(planReplicas({
		count: 6, needed: 6, scaling: {...scaling, spotPrice: undefined}, spotLimits: new Map(),
	}), [
		{dataCentre: 'a', onDemand: 2, spot: 0},
		{dataCentre: 'b', onDemand: 4, spot: 0},
	]);
	t.end();
});

test('ready spot replicas stay where no more are available, and on-demand ones are added only for the current load', t => {
	t.same(planReplicas({
		count: 16, needed: 8, scaling, spotLimits: new Map([['a', 2], ['b', 3]]),
	}), [
		{dataCentre: 'a', onDemand: 1, spot: 2},
		{dataCentre: 'b', onDemand: 2, spot: 3},
	]);
	t.end();
});

test('the replicas of both kinds together stay within the limit of a data centre', t => {
	for (const count of [0, 5, 19, 20, 500]) {
		for (const spotLimits of [new Map<string, number>(), new Map([['a', 3]]), new Map([['a', 0], ['b', 50]])]) {
			for (const {onDemand, spot} of planReplicas({
				count, needed: count, scaling, spotLimits,
			})) {
				t.ok(onDemand + spot <= scaling.most && onDemand >= scaling.least, `${count}: ${onDemand} and ${spot}`);
			}
		}
	}

	t.end();
});
