import {test} from 'tap';
import {createPaceModel} from '../src/create-pace-model.ts';

function toLoads(paces: Readonly<Record<string, number>>, readMs = 1000) {
	return new Map(Object.entries(paces).map(([id, pace]) => [id, {prefilledTokens: pace * readMs, prefillMs: readMs}]));
}

test('endpoints that read more slowly than the median have their part of its pace', t => {
	const paces = createPaceModel();
	paces.update(toLoads({
		a: 50, b: 38, c: 49, d: 52, e: 39, f: 51,
	}));
	t.equal(paces.getFactor('b'), 0.76);
	t.equal(paces.getFactor('e'), 0.78);
	t.equal(paces.getFactor('a'), 1);
	t.equal(paces.getFactor('unknown'), 1);
	t.end();
});

test('a few tokens say nothing of an endpoint, and odd paces count within bounds', t => {
	const paces = createPaceModel();
	paces.update(toLoads({a: 50, b: 10}, 100));
	t.equal(paces.getFactor('b'), 1);
	paces.update(toLoads({a: 50, b: 1, c: 5000}, 10_000));
	t.equal(paces.getFactor('b'), 0.4);
	t.equal(paces.getFactor('c'), 1.3);
	t.end();
});

test('two endpoints are told apart by the faster one', t => {
	const paces = createPaceModel();
	paces.update(toLoads({a: 50, b: 38}));
	t.equal(paces.getFactor('a'), 1);
	t.equal(paces.getFactor('b'), 0.76);
	t.end();
});
