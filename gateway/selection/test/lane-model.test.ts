import {Clock} from 'clock-mock';
import fc from 'fast-check';
import {test} from 'tap';
import {createLaneModel} from '../src/create-lane-model.ts';

const options = {
	longShare: 0.5, shortUse: 0.5, longUse: 0.8, averageMs: 3000,
};
const slow: ReadonlySet<string> = new Set();
const endpoints = ['i-1', 'i-2', 'i-3', 'i-4', 'i-5', 'i-6'];

test('each lane has at least one endpoint, whatever is asked for', t => {
	fc.assert(fc.property(fc.integer({min: 2, max: 20}), fc.nat(10_000_000), fc.nat(10_000_000), fc.float({
		min: 0, max: 50, noNaN: true,
	}), (count, long, short, shortFill) => {
		const model = createLaneModel(options);
		model.record(true, long);
		model.record(false, short);
		const ids = Array.from({length: count}, (_value, index) => `i-${index}`);
		const lanes = model.getLanes(ids, {shortFill, tokensPerMs: 50, slow});
		return lanes.long.size > 0 && lanes.short.size > 0 && lanes.long.size + lanes.short.size === count;
	}));
	t.end();
});

test('the lane with more demand has more endpoints, and short prompts go first when there are too few', t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	const idle = {shortFill: 0, tokensPerMs: 50, slow};
	const long = createLaneModel(options);
	long.record(true, 300_000);
	t.ok(long.getLanes(endpoints, idle).long.size >= 4);
	const short = createLaneModel(options);
	short.record(false, 300_000);
	t.ok(short.getLanes(endpoints, idle).short.size >= 4);
	const both = createLaneModel(options);
	both.record(true, 3_000_000);
	both.record(false, 450_000);
	t.equal(both.getLanes(endpoints, idle).long.size, 1);
	t.end();
});

test('a small change of demand moves no endpoint, and one that goes moves few others', t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	const model = createLaneModel(options);
	const idle = {shortFill: 0, tokensPerMs: 50, slow};
	model.record(true, 200_000);
	model.record(false, 100_000);
	const before = model.getLanes(endpoints, idle);
	model.record(true, 20_000);
	t.equal(model.getLanes(endpoints, idle), before);
	const after = model.getLanes(endpoints.slice(1), idle);
	t.ok(after.long.difference(before.long).size <= 1);
	t.end();
});

test('demand of old is forgotten', t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	const model = createLaneModel(options);
	const idle = {shortFill: 0, tokensPerMs: 50, slow};
	model.record(true, 500_000);
	t.equal(model.getLanes(endpoints, idle).long.size, 5);
	clock.advance(30_000);
	t.equal(model.getLanes(endpoints, idle).long.size, 3);
	t.end();
});

test('slow endpoints take the long prompts first, so that pauses within short streams stay short', t => {
	const model = createLaneModel(options);
	model.record(true, 100_000);
	model.record(false, 100_000);
	for (const id of endpoints) {
		const {long} = model.getLanes(endpoints, {shortFill: 0, tokensPerMs: 50, slow: new Set([id])});
		t.ok(long.has(id));
	}

	t.end();
});
