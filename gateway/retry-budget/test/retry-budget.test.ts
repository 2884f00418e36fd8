import {Clock} from 'clock-mock';
import fc from 'fast-check';
import {test} from 'tap';
import {createRetryBudget, type RetryBudget} from '@valvesaddle/retry-budget';

function countSpent(budget: RetryBudget): number {
	let spent = 0;
	while (budget.spend('p')) {
		spent++;
	}

	return spent;
}

test('all nodes together do not exceed the budget of the fleet', t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	const nodes = 8;
	let spent = 0;
	for (let node = 0; node < nodes; node++) {
		const budget = createRetryBudget({
			ratio: 0.2, slack: 56, windowMs: 10_000, countNodes: () => nodes,
		});
		for (let request = 0; request < 100; request++) {
			budget.earn('p');
		}

		spent += countSpent(budget);
	}

	t.ok(spent > 100);
	t.ok(spent <= (0.2 * 100 * nodes) + 56);
	t.end();
});

test('spent retries and earlier requests stop counting when the window has passed', t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	const budget = createRetryBudget({
		ratio: 0.2, slack: 10, windowMs: 10_000, countNodes: () => 1,
	});
	for (let request = 0; request < 50; request++) {
		budget.earn('p');
	}

	t.equal(countSpent(budget), 16);
	clock.advance(9999);
	t.equal(countSpent(budget), 0);
	clock.advance(2);
	t.equal(countSpent(budget), 8);
	t.end();
});

test('each pool has its own budget', t => {
	const budget = createRetryBudget({
		ratio: 0, slack: 2, windowMs: 10_000, countNodes: () => 1,
	});
	t.ok(budget.spend('p'));
	t.notOk(budget.spend('p'));
	t.ok(budget.spend('q'));
	t.end();
});

test('while a pool fails as a whole, less urgent routes leave what more urgent ones have earned', t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	const budget = createRetryBudget({
		ratio: 0.2, slack: 0, windowMs: 10_000, countNodes: () => 1,
	});
	for (let request = 0; request < 100; request++) {
		budget.earn('p', request < 25 ? 0 : 2);
	}

	const countScarce = (priority: number): number => {
		let spent = 0;
		while (budget.spend('p', {priority, isScarce: true})) {
			spent++;
		}

		return spent;
	};

	t.equal(countScarce(2), 12, 'their part of sixteen');
	t.equal(countScarce(0), 4);
	clock.advance(10_001);
	for (let request = 0; request < 100; request++) {
		budget.earn('p', request < 25 ? 0 : 2);
	}

	t.equal(countScarce(0), 16, 'the most urgent may use them all');
	t.notOk(budget.hasRetry('p', {priority: 2, isScarce: true}));
	t.end();
});

test('72 nodes, a third of them cut off while their pool fails, stay within the budget of the fleet, whoever fails', t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	const fleet = fc.array(fc.record({
		requests: fc.nat(60), tries: fc.nat(60), priority: fc.nat(3),
	}), {minLength: 72, maxLength: 72});
	fc.assert(fc.property(fleet, fc.double({min: 0, max: 0.5, noNaN: true}), fc.nat(100), (nodes, ratio, slack) => {
		let requests = 0;
		let retries = 0;
		for (const [index, node] of nodes.entries()) {
			// Also of those that are cut off: they keep the highest number that they have known.
			const budget = createRetryBudget({
				ratio, slack, windowMs: 10_000, countNodes: () => nodes.length,
			});
			for (let request = 0; request < node.requests; request++) {
				budget.earn('p', request % 4);
			}

			for (let attempt = 0; attempt < node.tries; attempt++) {
				retries += budget.spend('p', {priority: node.priority, isScarce: index % 3 > 0}) ? 1 : 0;
			}

			requests += node.requests;
		}

		return retries <= (ratio * requests) + slack;
	}), {numRuns: 50});
	t.end();
});
