import fc from 'fast-check';
import {Clock} from 'clock-mock';
import {test} from 'tap';
import {
	chooseDropped,
	compareWaiting,
	createReturnPlan,
	decideWaiting,
	planReturn,
	rankWaiting,
	type WaitingInput,
	type WaitingOrder,
} from '@valvesaddle/waiting';

const input: WaitingInput = {
	isUrgent: false, isPromised: false, isHeld: false, waitedMs: 0, roomInMs: 200, serviceMs: 100, objectiveMs: 800, leftMs: 800,
};

function createView(name: string, priority: number, part: {readonly waiting?: number; readonly floorCredit?: number} = {}) {
	return {
		requestClass: {
			name, priority, urgent: true, firstTokenTargetMs: 600, maximumWaitMs: 600, weight: 1, floor: 0.1,
		}, waiting: 1, virtualTokens: 0, floorCredit: 0, ...part,
	};
}

test('callers that have come back are first, then those with little time left, then the oldest', t => {
	const orders: readonly WaitingOrder[] = [
		{arrivedAt: 9, dueAt: 90, hasReturned: true}, {arrivedAt: 8, dueAt: 99, hasReturned: true}, {arrivedAt: 7, dueAt: 50}, {arrivedAt: 1, dueAt: 60}, {arrivedAt: 2, dueAt: 60},
	];
	t.same(orders.toReversed().toSorted((a, b) => compareWaiting(a, b)), orders);
	t.end();
});

test('the order is the same whatever the order of arrival', t => {
	const order = fc.record({arrivedAt: fc.nat(5), dueAt: fc.nat(5), hasReturned: fc.boolean()});
	fc.assert(fc.property(order, order, order, (a, b, c) => Math.sign(compareWaiting(a, b)) === -Math.sign(compareWaiting(b, a))
		&& !(compareWaiting(a, b) <= 0 && compareWaiting(b, c) <= 0 && compareWaiting(a, c) > 0)));
	t.end();
});

test('the most urgent class is before all others, also before one whose guarantee is due', t => {
	t.same(rankWaiting([createView('summaries', 2, {floorCredit: 2}), createView('explanations', 1), createView('chats', 0), createView('idle', 0, {waiting: 0})]), ['chats', 'summaries', 'explanations']);
	t.end();
});

test('a request that will not be in time is refused within an eighth of its objective, one that will be is held', t => {
	t.equal(decideWaiting(input), 'wait');
	t.equal(decideWaiting({...input, waitedMs: 100, leftMs: 700}), 'wait');
	t.equal(decideWaiting({...input, roomInMs: 1500}), 'refuse', 'at once, if even half of the prediction is too long');
	t.equal(decideWaiting({...input, roomInMs: 900}), 'wait', 'news may be on its way');
	t.equal(decideWaiting({
		...input, roomInMs: 900, waitedMs: 100, leftMs: 700,
	}), 'refuse');
	t.equal(decideWaiting({
		...input, roomInMs: 900, waitedMs: 300, leftMs: 500, isHeld: true,
	}), 'wait', 'it has waited already');
	t.equal(decideWaiting({
		...input, roomInMs: 0, waitedMs: 710, leftMs: 90, isHeld: true,
	}), 'refuse', 'hopeless');
	t.end();
});

test('urgent requests, and those that were promised room, are never refused', t => {
	fc.assert(fc.property(fc.boolean(), fc.boolean(), fc.nat(5000), fc.nat(5000), fc.nat(5000), (isUrgent, isHeld, waitedMs, roomInMs, serviceMs) => decideWaiting({
		isUrgent, isPromised: !isUrgent, isHeld, waitedMs, roomInMs, serviceMs, objectiveMs: 800, leftMs: 800 - waitedMs,
	}) === 'wait'));
	t.end();
});

test('of a full room the account that uses most of it loses a request, unless the new request is its own', t => {
	const uses = [{account: 'large', share: 0.9, hasDroppable: true}, {account: 'small', share: 0.1, hasDroppable: true}];
	t.equal(chooseDropped(uses, {account: 'small', share: 0.11}), 'large');
	t.equal(chooseDropped(uses, {account: 'large', share: 0.91}), undefined);
	t.equal(chooseDropped([{account: 'urgent', share: 0.9, hasDroppable: false}], {account: 'small', share: 0.01}), undefined, 'urgent requests are not dropped');
	t.end();
});

test('callers come back in the order in which they were refused, not before there is room, and not all at once', t => {
	fc.assert(fc.property(fc.integer({min: 0, max: 2000}), fc.integer({min: 1, max: 100}), fc.array(fc.double({min: 0, max: 0.999, noNaN: true}), {minLength: 2, maxLength: 20}), (roomInMs, intervalMs, draws) => {
		let lastAt = -Infinity;
		return draws.every(draw => {
			const at = planReturn({
				now: 1000, roomInMs, intervalMs, lastAt, mostMs: 10_000, draw,
			});
			const isAfter = at >= 1000 + roomInMs && at >= lastAt + intervalMs && at <= 11_000;
			lastAt = at;
			return isAfter;
		});
	}));
	t.end();
});

test('no caller is asked to stay away for longer than the longest time, however many there are', t => {
	const ats = Array.from({length: 100}, (_value, index) => planReturn({
		now: 0, roomInMs: 100, intervalMs: 40, lastAt: 50_000, mostMs: 3000, draw: index / 100,
	}));
	t.ok(ats.every(at => at > 1500 && at <= 3000));
	t.ok(new Set(ats).size > 90);
	t.end();
});

test('an account of which 100,000 callers are refused does not keep the callers of another one away', t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	const returns = createReturnPlan({mostMs: 5000});
	const room = {roomInMs: 300, intervalMs: 20, draw: 0};
	const longestMs = Math.max(...Array.from({length: 100_000}, () => returns.planMs('large', room)));
	t.equal(longestMs, 5000);

	t.equal(returns.planMs('small', room), 300);
	t.equal(returns.planMs('small', room), 340, 'two accounts share what comes free');
	clock.advance(6000);
	t.equal(returns.planMs('large', room), 300, 'what is over is forgotten');
	t.equal(returns.planMs('large', room), 320);
	t.end();
});
