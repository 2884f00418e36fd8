import {Clock} from 'clock-mock';
import {test} from 'tap';
import {createNeedEstimator, createOrderPlanner, type ReplicaCount} from '@valvesaddle/duty-scaling';

const scaling = {
	least: 1, most: 20, bootMs: 4000, spotPrice: 0.2, prices: {a: 1, b: 1},
};

function toReady(usual: number, spot: number): readonly ReplicaCount[] {
	return ['a', 'b'].flatMap(dataCentre => [{dataCentre, isSpot: false, count: usual}, {dataCentre, isSpot: true, count: spot}]);
}

test('reading that is asked for raises the need before requests pile up, and it falls only after a while', t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	const needs = createNeedEstimator({minimumReplicas: 8});
	const calm = {
		open: 10, placedTokens: 0, tokensPerMs: 50, slots: 12,
	};
	t.equal(needs.update(calm).count, 8);
	clock.advance(500);
	const burst = needs.update({...calm, placedTokens: 500_000});
	t.equal(burst.reason, 'reading');
	t.ok(burst.count > 40, `${burst.count}`);
	clock.advance(10_000);
	t.equal(needs.update({...calm, placedTokens: 500_000}).count, burst.count, 'held');
	clock.advance(6000);
	t.equal(needs.update({...calm, placedTokens: 500_000}).count, 8);
	t.end();
});

test('usual replicas go only when what is wanted serves without them', t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	const book = createOrderPlanner();
	const question = {
		pool: 'p', scaling, count: 20, needed: 10,
	};
	const first = book.list({...question, ready: toReady(10, 0)});
	t.match(first.filter(({isSpot}) => isSpot), [{dataCentre: 'a', count: 10}, {dataCentre: 'b', count: 10}], 'what the limit of both kinds together leaves');
	t.match(first.filter(({isSpot}) => !isSpot), [{count: 10}, {count: 10}], 'none goes yet');
	for (const order of first) {
		book.markAccepted(order);
	}

	const second = book.list({...question, ready: toReady(10, 9)});
	t.equal(second.reduce((sum, {isSpot, count}) => sum + (isSpot ? 0 : count), 0), 2, 'all but the least go');
	t.end();
});

test('a data centre without spot replicas is asked again after a while, and the others run more meanwhile', t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	const book = createOrderPlanner();
	const question = {
		pool: 'p', scaling, count: 20, needed: 10, ready: toReady(1, 0),
	};
	const [order] = book.list(question);
	t.match(order, {dataCentre: 'a', isSpot: true, count: 18});
	if (order !== undefined) {
		book.markUnavailable(order);
	}

	t.match(book.list(question).find(({dataCentre, isSpot}) => dataCentre === 'b' && isSpot), {count: 19});
	clock.advance(5000);
	t.match(book.list(question).find(({dataCentre, isSpot}) => dataCentre === 'a' && isSpot), {count: 18});
	t.end();
});

test('replicas that were reclaimed are ordered again, not before they could have come', t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	const book = createOrderPlanner();
	const question = {
		pool: 'p', scaling, count: 20, needed: 10, ready: toReady(1, 0),
	};
	for (const order of book.list(question)) {
		book.markAccepted(order);
	}

	t.same(book.list(question), []);
	clock.advance(7000);
	t.same(book.list({...question, ready: toReady(1, 18)}), []);
	t.match(book.list(question), [{dataCentre: 'a', isSpot: true, count: 18}, {dataCentre: 'b', isSpot: true, count: 18}]);
	t.end();
});
