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
		clock.advance(10_000);
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
	clock.advance(10_000);
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

test('the slack is left to a former process of the node for one window', t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	const budget = createRetryBudget({
		ratio: 0.2, slack: 10, windowMs: 10_000, countNodes: () => 1,
	});
	clock.advance(9999);
	for (let request = 0; request < 50; request++) {
		budget.earn('p');
	}

	t.equal(countSpent(budget), 8, 'earned by its own requests');
	clock.advance(1);
	t.equal(countSpent(budget), 8);
	t.end();
});

test('each pool has its own budget', t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	const budget = createRetryBudget({
		ratio: 0, slack: 2, windowMs: 10_000, countNodes: () => 1,
	});
	clock.advance(10_000);
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
			clock.advance(10_000);
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

type Kill = {
	/**
	In steps of 100 ms.
	*/
	readonly at: number;
	readonly firstNode: number;
	readonly nodes: number;
};

/**
Plays a fleet of nine nodes whose pool fails every attempt, and whose processes are killed and started again half a second later.
Returns the times of requests and retries, in milliseconds.
*/
function playKills(kills: readonly Kill[], requestsPerStep: readonly number[]): {readonly requests: readonly number[]; readonly retries: readonly number[]} {
	const nodes = 9;
	const downSteps = 5;
	const clock = new Clock();
	const leave = clock.enter();
	const start = (): RetryBudget => createRetryBudget({
		ratio: 0.2, slack: 58, windowMs: 10_000, countNodes: () => nodes,
	});
	const budgets = Array.from({length: nodes}, start);
	const downUntil = Array.from({length: nodes}, () => 0);
	// Callers come some time after the nodes have started.
	clock.advance(12_000);
	const requests: number[] = [];
	const retries: number[] = [];

	function killProcesses({at, firstNode, nodes: killed}: Kill): void {
		for (let index = firstNode; index < firstNode + killed; index++) {
			budgets[index % nodes] = start();
			downUntil[index % nodes] = at + downSteps;
		}
	}

	function sendRequest(budget: RetryBudget): void {
		budget.earn('p');
		for (let attempt = 2; attempt <= 5 && budget.spend('p'); attempt++) {
			retries.push(performance.now());
		}
	}

	for (const [step, count] of requestsPerStep.entries()) {
		const killsNow = kills.filter(({at}) => at === step);
		for (const kill of killsNow) {
			killProcesses(kill);
		}

		for (let index = 0; index < count; index++) {
			requests.push(performance.now());
			const node = (step + (index * 4)) % nodes;
			if (downUntil[node]! <= step) {
				sendRequest(budgets[node]!);
			}
		}

		clock.advance(100);
	}

	leave();
	return {requests, retries};
}

function countWithin(times: readonly number[], from: number): number {
	return times.filter(at => at >= from && at < from + 10_000).length;
}

test('a fleet whose processes are killed and start again does not exceed its budget', t => {
	const kill = fc.record({at: fc.nat(300), firstNode: fc.nat(8), nodes: fc.integer({min: 1, max: 9})});
	const steady = fc.array(fc.nat(6), {minLength: 300, maxLength: 300});
	const bursts = fc.array(fc.record({steps: fc.integer({min: 1, max: 60}), count: fc.nat(20)}), {minLength: 3, maxLength: 8})
		.map(parts => parts.flatMap(({steps, count}) => Array.from({length: steps}, () => count)));
	const load = fc.oneof(steady, bursts);
	fc.assert(fc.property(fc.array(kill, {maxLength: 8}), load, (kills, requestsPerStep) => {
		const {requests, retries} = playKills(kills, requestsPerStep);
		return retries.every(from => {
			// As the platform counts: in that window, the one before it or the one half a window before it.
			const earned = Math.max(...[0, 5000, 10_000].map(before => countWithin(requests, from - before)));
			return countWithin(retries, from) <= (0.2 * earned) + 58;
		});
	}), {numRuns: 50, seed: 55});
	t.end();
});
