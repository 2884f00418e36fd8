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
		...[[], load.slice(1), [...load, 0, 0, 0], [...load, 0, -1], [...load, -1], [...load, '2'], [...load, Infinity], [...load, null], load.with(0, 5), load.with(1, -1), load.with(1, '2'), load.with(2, [-1]), load.with(2, Array.from({length: 65}, () => 0)), load.with(3, Infinity), load.with(7, null)]
			.map(row => ({nodes: 1, loads: [load, row], placements: []})),
		...[[], [...placement, 1], placement.with(0, 1), placement.with(2, ['a', 2]), placement.with(3, NaN)]
			.map(row => ({nodes: 1, loads: [], placements: [placement, row]})),
	];
	for (const message of malformed) {
		t.throws(() => parseLoadUpdate(message), JSON.stringify(message));
	}

	t.end();
});

test('evidence is told beside the loads, where a version that does not know it passes over it', t => {
	const evidence = {
		answers: 12, failures: 0.36, timedAnswers: 3.6, serviceMs: 108,
	};
	const loads = [['i-1', noLoad], ['i-2', {...noLoad, open: 2, evidence}]] as const;
	const message = formatLoadUpdate({
		origin: 'n1', nodes: 1, loads, placements: [],
	});
	t.same(message.loads, [['i-1', 0, [], 0, 0, 0, 0, 0], ['i-2', 2, [], 0, 0, 0, 0, 0]]);
	t.same(message.evidence, [[1, 12, 0.36, 3.6, 108]]);
	t.same(parseLoadUpdate(message).loads, loads);
	const {evidence: _told, ...earlier} = message;
	t.notOk(parseLoadUpdate(earlier).loads.some(([, told]) => told.evidence !== undefined));
	t.notOk('evidence' in formatLoadUpdate({
		origin: 'n1', nodes: 1, loads: [['i-1', noLoad]], placements: [],
	}));
	t.end();
});

test('evidence that is malformed, negative, huge or of no load row is rejected with its update', t => {
	const evidence: readonly unknown[] = [0, 4, 1, 3, 90];
	t.ok(parseLoadUpdate({
		nodes: 1, loads: [load], placements: [], evidence: [evidence],
	}));
	const malformed = [
		null,
		0,
		{},
		[],
		evidence.slice(1),
		[...evidence, 0],
		evidence.with(0, 1),
		evidence.with(0, -1),
		evidence.with(0, 0.5),
		evidence.with(0, '0'),
		evidence.with(1, -1),
		evidence.with(2, 1e9),
		evidence.with(1, 1e300),
		evidence.with(3, '3'),
		evidence.with(4, NaN),
		evidence.with(4, 1e10),
	];
	for (const row of malformed) {
		t.throws(() => parseLoadUpdate({
			nodes: 1, loads: [load], placements: [], evidence: [evidence, row],
		}), {code: 'ERR_VALVESADDLE_MESSAGE_INVALID'}, JSON.stringify(row));
	}

	t.throws(() => parseLoadUpdate({
		nodes: 1, loads: [load], placements: [], evidence: 'x',
	}), {code: 'ERR_VALVESADDLE_MESSAGE_INVALID'});
	t.end();
});

test('any message is parsed or rejected, and a parsed one can be formatted again', t => {
	fc.assert(fc.property(fc.oneof(fc.jsonValue(), fc.record({nodes: fc.nat(), loads: fc.array(fc.constantFrom(load, [...load, 9200], load.with(1, 'x'))), placements: fc.array(fc.constantFrom(placement, [1]))})), message => {
		try {
			const update = parseLoadUpdate(message);
			return JSON.stringify(formatLoadUpdate({origin: 'n1', ...update})).length > 0;
		} catch (error) {
			return error instanceof Error;
		}
	}));
	t.end();
});
