import {test} from 'tap';
import {planReplicas} from '@valvesaddle/duty-scaling';

const scaling = {
	least: 1, most: 10, bootMs: 4000, spotPrice: 0.2, prices: {a: 1, b: 0.5},
};

test('each data centre keeps its least as usual replicas, and the loss of any one\'s spot replicas leaves what is wanted', t => {
	const places = planReplicas({
		count: 11, needed: 0, scaling: {...scaling, prices: {a: 1, b: 0.5, c: 2}}, spotLimits: new Map(),
	});
	t.same(places, [
		{dataCentre: 'a', usual: 1, spot: 4},
		{dataCentre: 'b', usual: 1, spot: 4},
		{dataCentre: 'c', usual: 1, spot: 4},
	]);
	for (const {spot} of places) {
		t.ok(15 - spot >= 11);
	}

	t.end();
});

test('without spot replicas in a data centre the others run more, and usual ones what is left', t => {
	t.same(planReplicas({
		count: 16, needed: 16, scaling, spotLimits: new Map([['b', 0]]),
	}), [
		{dataCentre: 'a', usual: 1, spot: 9},
		{dataCentre: 'b', usual: 6, spot: 0},
	]);
	t.same(planReplicas({
		count: 6, needed: 6, scaling: {...scaling, spotPrice: undefined}, spotLimits: new Map(),
	}), [
		{dataCentre: 'a', usual: 2, spot: 0},
		{dataCentre: 'b', usual: 4, spot: 0},
	]);
	t.end();
});

test('spot replicas that serve stay where there are no more, and usual ones come only for what the work needs now', t => {
	t.same(planReplicas({
		count: 16, needed: 8, scaling, spotLimits: new Map([['a', 2], ['b', 3]]),
	}), [
		{dataCentre: 'a', usual: 1, spot: 2},
		{dataCentre: 'b', usual: 2, spot: 3},
	]);
	t.end();
});

test('never more than the limit of a data centre, of both kinds together', t => {
	for (const count of [0, 5, 19, 20, 500]) {
		for (const withoutSpot of [new Map<string, number>(), new Map([['a', 3]]), new Map([['a', 0], ['b', 50]])]) {
			for (const {onDemand: usual, spot} of planReplicas({
				count, needed: count, scaling, spotLimits: withoutSpot,
			})) {
				t.ok(usual + spot <= scaling.most && usual >= scaling.least, `${count}: ${usual} and ${spot}`);
			}
		}
	}

	t.end();
});
