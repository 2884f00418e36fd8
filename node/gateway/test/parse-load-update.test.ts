/*
A malformed load update is rejected as a whole, never applied in part.
*/
import fc from 'fast-check';
import {test} from 'tap';
import {noLoad} from '@valvesaddle/selection';
import {formatLoadUpdate} from '../src/format-load-update.ts';
import {parseLoadUpdate} from '../src/parse-load-update.ts';

const load: readonly unknown[] = ['i-1', 2, [0, 800], 0.5, 1, 0, 100, 7];
const placement: readonly unknown[] = ['i-1', 'p', ['a'], 600];

test('rows of a wrong length, of wrong types or out of range are rejected', t => {
	const malformed: readonly unknown[] = [
		undefined,
		null,
		3,
		[],
		{},
		{nodes: 1},
		{nodes: -1, loads: [], placements: []},
		{nodes: 1.5, loads: [], placements: []},
		{nodes: 1, loads: {}, placements: []},
		{nodes: 1, loads: [], placements: 'x'},
		...[[], load.slice(1), [...load, 0], load.with(0, 5), load.with(1, -1), load.with(1, '2'), load.with(2, [-1]), load.with(2, Array.from({length: 65}, () => 0)), load.with(3, Infinity), load.with(7, null)]
			.map(row => ({nodes: 1, loads: [load, row], placements: []})),
		...[[], [...placement, 1], placement.with(0, 1), placement.with(2, ['a', 2]), placement.with(3, NaN)]
			.map(row => ({nodes: 1, loads: [], placements: [placement, row]})),
	];
	for (const message of malformed) {
		t.throws(() => parseLoadUpdate(message), JSON.stringify(message));
	}

	t.end();
});

test('evidence is told in a row of its own, and a row without it is that of a node that tells none', t => {
	const evidence = {
		answers: 12, failures: 0.36, timedAnswers: 3.6, serviceMs: 108,
	};
	const loads = [['i-1', {...noLoad, open: 2, evidence}], ['i-2', noLoad]] as const;
	const message = formatLoadUpdate({
		origin: 'n1', nodes: 1, loads, placements: [],
	});
	t.same(message.loads, [['i-1', 2, [], 0, 0, 0, 0, 0, [12, 0.36, 3.6, 108]], ['i-2', 0, [], 0, 0, 0, 0, 0]]);
	t.same(parseLoadUpdate(message).loads, loads);
	t.end();
});

test('evidence that is malformed, negative or huge is rejected with its update', t => {
	const evidence: readonly unknown[] = [4, 1, 3, 90];
	t.ok(parseLoadUpdate({nodes: 1, loads: [[...load, evidence]], placements: []}));
	const malformed = [null, 0, {}, [], evidence.slice(1), [...evidence, 0], evidence.with(0, -1), evidence.with(1, 1e9), evidence.with(0, 1e300), evidence.with(2, '3'), evidence.with(3, NaN), evidence.with(3, 1e10)];
	for (const row of malformed) {
		t.throws(() => parseLoadUpdate({nodes: 1, loads: [load, [...load, row]], placements: []}), {code: 'ERR_VALVESADDLE_MESSAGE_INVALID'}, JSON.stringify(row));
	}

	t.throws(() => parseLoadUpdate({nodes: 1, loads: [[...load, evidence, evidence]], placements: []}));
	t.end();
});

test('any message is parsed or rejected, and a parsed one can be formatted again', t => {
	fc.assert(fc.property(fc.oneof(fc.jsonValue(), fc.record({nodes: fc.nat(), loads: fc.array(fc.constantFrom(load, load.with(1, 'x'))), placements: fc.array(fc.constantFrom(placement, [1]))})), message => {
		try {
			const update = parseLoadUpdate(message);
			return JSON.stringify(formatLoadUpdate({origin: 'n1', ...update})).length > 0;
		} catch (error) {
			return error instanceof Error;
		}
	}));
	t.end();
});
