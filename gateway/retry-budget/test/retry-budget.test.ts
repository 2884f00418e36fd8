import {Clock} from 'clock-mock';
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
