/*
Load: plain endpoints of different and changing pace, chosen by many nodes at once.
*/
import {createRandom} from '@valvesaddle/random';
import fc from 'fast-check';
import {test} from 'tap';
import {
	estimatePaceMs,
	measureServiceMs,
	pickByExpectation,
	predictAnswerMs,
} from '@valvesaddle/pace';

test('the wait for a place is taken out of an answer\'s time and put into the prediction', t => {
	t.equal(measureServiceMs({elapsedMs: 90, openBefore: 17, slots: 6}), 30);
	t.equal(measureServiceMs({elapsedMs: 30, openBefore: 0, slots: 6}), 30);
	t.equal(predictAnswerMs({
		open: 17, slots: 6, paceMs: 30, successShare: 1,
	}), 90);
	t.equal(predictAnswerMs({
		open: 5, slots: 6, paceMs: 30, successShare: 0.5,
	}), 60, 'half of the requests are sent twice');
	t.end();
});

test('a few answers show a slow endpoint, and none is as fast as its pool', t => {
	const pool = {timedAnswers: 40, serviceMs: 1200};
	t.equal(estimatePaceMs({timedAnswers: 4, serviceMs: 300}, pool), 66);
	t.equal(estimatePaceMs({timedAnswers: 0, serviceMs: 0}, pool), 30);
	t.ok(estimatePaceMs({timedAnswers: 0, serviceMs: 0}, {timedAnswers: 0, serviceMs: 0}) > 0);
	t.end();
});

test('the faster an endpoint is, the more often it is picked, above all by requests that cannot be repeated', t => {
	const times = new Map([['slow', 75], ['fast', 30]]);
	const count = (isRepeatable: boolean): number => {
		const random = createRandom(1);
		return Array.from({length: 1000}, () => pickByExpectation({
			candidates: ['slow', 'fast'], getExpectedMs: name => times.get(name) ?? 0, isRepeatable, random,
		})).filter(name => name === 'slow').length;
	};

	t.ok(count(true) > 230 && count(true) < 340, 'two in seven');
	t.ok(count(false) > 90 && count(false) < 190, 'four in twenty-nine');
	t.end();
});

test('one of the candidates is picked, whatever they are expected to take', t => {
	const drawnTimes = fc.array(fc.double({min: 1e-3, max: 1e9, noNaN: true}), {minLength: 1, maxLength: 30});
	const numbers = fc.double({
		min: 0, max: 1, maxExcluded: true, noNaN: true,
	});
	fc.assert(fc.property(drawnTimes, numbers, fc.boolean(), (times, drawn, isRepeatable) => {
		const picked = pickByExpectation({
			candidates: times.map((_time, index) => index), getExpectedMs: index => times[index] ?? 0, isRepeatable, random: () => drawn,
		});
		return picked !== undefined && picked < times.length;
	}));
	t.equal(pickByExpectation<string>({
		candidates: [], getExpectedMs: () => 1, isRepeatable: true, random: () => 0,
	}), undefined);
	t.end();
});
