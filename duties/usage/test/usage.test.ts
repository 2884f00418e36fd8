import {
	array,
	assert,
	constantFrom,
	integer,
	property,
	tuple,
} from 'fast-check';
import {errAsync, okAsync} from 'neverthrow';
import {test} from 'tap';
import type {DutyAnswer, UsageReport} from '@valvesaddle/duty-types';
import {ValvesaddleError} from '@valvesaddle/error';
import {createLogger} from '@valvesaddle/logger';
import {createMetrics} from '@valvesaddle/metrics';
import {createUsageCounters, createUsageReporter} from '@valvesaddle/duty-usage';

test('the totals do not depend on the order or repetition of rows', t => {
	const row = tuple(constantFrom('n1', 'n2', 'n3'), integer({min: 1, max: 3}), constantFrom('sawmill', 'depot'), integer({min: 1, max: 9}));
	assert(property(array(row), array(row), (first, second) => {
		const counters = createUsageCounters('n9');
		counters.merge(first);
		counters.merge(second);
		const other = createUsageCounters('n9');
		other.merge([...second, ...first, ...second]);
		t.same(other.sum(1), counters.sum(1));
		t.same(other.sum(2), counters.sum(2));
	}));
	t.end();
});

test('a restarted process adds to the counts of the previous one', t => {
	const counters = createUsageCounters('n1.second');
	counters.merge([['n1.first', 7, 'sawmill', 5]]);
	counters.count(7, 'sawmill');
	t.same(counters.sum(7), {sawmill: 6});
	counters.removeBefore(8);
	t.same(counters.sum(7), {});
	t.end();
});

function createFixture(answers: readonly DutyAnswer[], stored = new Map<string, string>()) {
	const sent: UsageReport[] = [];
	const reporter = createUsageReporter({
		counters: {sum: window => ({sawmill: window})},
		store: {
			write({key, text}) {
				if (stored.has(key)) {
					return okAsync(undefined);
				}

				stored.set(key, text);
				return okAsync(1);
			},
			read: key => okAsync(stored.has(key) ? {text: stored.get(key) ?? '', revision: 1} : undefined),
		},
		platform: {
			async reportUsage(report) {
				sent.push(report);
				return answers[Math.min(sent.length, answers.length) - 1] ?? 'accepted';
			},
		},
		getProof: () => ({holder: 'n1', token: 3}),
		confirm: async () => true,
		windowMs: 5000,
		settleMs: 1500,
		logger: createLogger({node: 'n', level: 'silent'}),
		metrics: createMetrics(),
	});
	return {reporter, sent, stored};
}

test('a window is sent after it has settled, the oldest first, and repeated until it is accepted', async t => {
	const {reporter, sent} = createFixture(['busy', 'unknown', 'accepted']);
	reporter.start(51_400);
	for (let step = 0; step < 8; step++) {
		// eslint-disable-next-line no-await-in-loop -- updates run in turn
		await reporter.update(56_400);
	}

	t.same(sent.map(({window}) => window), [4, 4, 4, 5, 6, 7, 8, 9], 'window 9 ended at 50 s; 10 has not settled');
});

test('stored counts are sent instead of this node\'s own, and unreadable ones are skipped', async t => {
	const {reporter, sent} = createFixture(['accepted'], new Map([['usage/9', '{"sawmill":812}'], ['usage/8', 'no counts']]));
	reporter.start(51_400);
	await reporter.update(51_500);
	t.same(sent.find(({window}) => window === 9)?.counts, {sawmill: 812});
	t.same(sent.map(({window}) => window), [4, 5, 6, 7, 9]);
});

test('counts that could not be written to the store are not sent', async t => {
	const sent: UsageReport[] = [];
	const fail = () => errAsync(new ValvesaddleError('ERR_VALVESADDLE_KV_UNAVAILABLE', 'down'));
	const reporter = createUsageReporter({
		counters: {sum: () => ({})},
		store: {write: fail, read: fail},
		platform: {
			async reportUsage(report) {
				sent.push(report);
				return 'accepted';
			},
		},
		getProof: () => ({holder: 'n1', token: 3}),
		confirm: async () => true,
		windowMs: 5000,
		settleMs: 0,
		logger: createLogger({node: 'n', level: 'silent'}),
		metrics: createMetrics(),
	});
	await reporter.update(50_000);
	t.same(sent, []);
});
