import {test} from 'tap';
import {createSpeedModel} from '../src/create-speed-model.ts';

function toLoads(speeds: Readonly<Record<string, number>>, prefillMs = 1000) {
	return new Map(Object.entries(speeds).map(([id, speed]) => [id, {prefilledTokens: speed * prefillMs, prefillMs}]));
}

test('an endpoint slower than the median gets its share of the median speed', t => {
	const speeds = createSpeedModel();
	speeds.update(toLoads({
		a: 50, b: 38, c: 49, d: 52, e: 39, f: 51,
	}));
	t.equal(speeds.getFactor('b'), 0.76);
	t.equal(speeds.getFactor('e'), 0.78);
	t.equal(speeds.getFactor('a'), 1);
	t.equal(speeds.getFactor('unknown'), 1);
	t.end();
});

test('a few tokens do not change the speed of an endpoint, and outliers are limited', t => {
	const speeds = createSpeedModel();
	speeds.update(toLoads({a: 50, b: 10}, 100));
	t.equal(speeds.getFactor('b'), 1);
	speeds.update(toLoads({a: 50, b: 1, c: 5000}, 10_000));
	t.equal(speeds.getFactor('b'), 0.4);
	t.equal(speeds.getFactor('c'), 1.3);
	t.end();
});

test('of two endpoints the faster one is the reference', t => {
	const speeds = createSpeedModel();
	speeds.update(toLoads({a: 50, b: 38}));
	t.equal(speeds.getFactor('a'), 1);
	t.equal(speeds.getFactor('b'), 0.76);
	t.end();
});
