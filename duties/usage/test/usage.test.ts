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

test('rows may come in any order, by several ways and more than once', t => {
	const row = tuple(constantFrom('n1', 'n2', 'n3'), integer({min: 1, max: 3}), constantFrom('sawmill', 'depot'), integer({min: 1, max: 9}));
	assert(property(array(row), array(row), (first, second) => {
		const book = createUsageCounters('n9');
		book.merge(first);
		book.merge(second);
		const other = createUsageCounters('n9');
		other.merge([...second, ...first, ...second]);
		t.same(other.sum(1), book.sum(1));
		t.same(other.sum(2), book.sum(2));
	}));
	t.end();
});

test('a process that has started anew adds to what was counted before it', t => {
	const book = createUsageCounters('n1.second');
	book.merge([['n1.first', 7, 'sawmill', 5]]);
	book.count(7, 'sawmill');
	t.same(book.sum(7), {sawmill: 6});
	book.removeBefore(8);
	t.same(book.sum(7), {});
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

test('a window is sent once it has settled, the oldest first, and again until it is accepted', async t => {
	const {reporter, sent} = createFixture(['busy', 'unknown', 'accepted']);
	reporter.start(51_400);
	for (let step = 0; step < 8; step++) {
		// eslint-disable-next-line no-await-in-loop -- one step after the other
		await reporter.update(56_400);
	}

	t.same(sent.map(({window}) => window), [4, 4, 4, 5, 6, 7, 8, 9], 'window 9 ended at 50 s; 10 has not settled');
});

test('what stands in the store is sent, whatever this node has counted, and what cannot be read is left out', async t => {
	const {reporter, sent} = createFixture(['accepted'], new Map([['usage/9', '{"sawmill":812}'], ['usage/8', 'no counts']]));
	reporter.start(51_400);
	await reporter.update(51_500);
	t.same(sent.find(({window}) => window === 9)?.counts, {sawmill: 812});
	t.same(sent.map(({window}) => window), [4, 5, 6, 7, 9]);
});

test('nothing is sent that could not be fixed in the store', async t => {
	const sent: UsageReport[] = [];
	const lost = () => errAsync(new ValvesaddleError('ERR_VALVESADDLE_KV_UNAVAILABLE', 'down'));
	const reporter = createUsageReporter({
		counters: {sum: () => ({})},
		store: {write: lost, read: lost},
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
