/*
Load: a whole pool fails, and there are fewer second tries than failed requests.
*/
import {Clock} from 'clock-mock';
import {test} from 'tap';
import type {Route} from '@valvesaddle/gateway-types';
import {createRetryBudget} from '@valvesaddle/retry-budget';
import {createRetryAllowance} from '../src/create-retry-allowance.ts';

function createRoute(priority: number): Route {
	return {
		name: 'r',
		host: 'h',
		prefix: '/',
		kind: 'safe',
		timeoutMs: 1000,
		latencyObjectiveMs: 300,
		priority,
		targets: [],
		maximumAttempts: 2,
		isPublic: false,
		isResumable: false,
		pauseObjectiveMs: 0,
	};
}

/**
Requests of three routes to a pool that fails 45 in 100; returns the retries by priority.
*/
function playFailures(isPoolFailing: () => boolean): readonly number[] {
	const budget = createRetryBudget({
		ratio: 0.2, slack: 0, windowMs: 10_000, countNodes: () => 1,
	});
	const retries = [0, 0, 0];
	for (let request = 0; request < 300; request++) {
		const priority = request % 10 < 3 ? 0 : 1 + (request % 2);
		budget.earn('p', priority);
		const allowance = createRetryAllowance({
			route: createRoute(priority), pool: 'p', budget, isPoolFailing,
		});
		allowance.markSent();
		if ((request * 7) % 20 < 9 && allowance.spend({mayHaveRun: true}) === undefined) {
			retries[priority] = (retries[priority] ?? 0) + 1;
		}
	}

	return retries;
}

test('while a pool fails as a whole, more second tries go to the most urgent route than to who comes first', t => {
	t.teardown(new Clock().enter());
	const before = playFailures(() => false);
	const after = playFailures(() => true);
	t.comment(before, after);
	t.ok((after[0] ?? 0) > 1.2 * (before[0] ?? 0));
	t.ok(after.every(retries => retries > 0), 'every route has some');
	t.ok(after.reduce((sum, retries) => sum + retries, 0) <= 0.2 * 300);
	t.end();
});
