import {test} from 'tap';
import {createPaceModel} from '../src/create-pace-model.ts';

function toLoads(paces: Readonly<Record<string, number>>, readMs = 1000) {
	return new Map(Object.entries(paces).map(([id, pace]) => [id, {readTokens: pace * readMs, readMs}]));
}

test('endpoints that read clearly more slowly than the median are slow', t => {
	const paces = createPaceModel();
	paces.update(toLoads({
		a: 50, b: 38, c: 49, d: 52, e: 39, f: 51,
	}));
	t.same(paces.listSlow(), new Set(['b', 'e']));
	t.ok(paces.getFactor('b') < 0.8);
	t.end();
});

test('an endpoint near the bound does not change its kind to and fro', t => {
	const paces = createPaceModel();
	paces.update(toLoads({a: 50, b: 42, c: 50}));
	t.same(paces.listSlow(), new Set(['b']));
	paces.update(toLoads({a: 50, b: 45, c: 50}));
	t.same(paces.listSlow(), new Set(['b']));
	paces.update(toLoads({a: 50, b: 48, c: 50}));
	t.same(paces.listSlow(), new Set());
	paces.update(toLoads({a: 50, b: 45, c: 50}));
	t.same(paces.listSlow(), new Set());
	t.end();
});

test('a few tokens say nothing of an endpoint, and odd paces count within bounds', t => {
	const paces = createPaceModel();
	paces.update(toLoads({a: 50, b: 10}, 100));
	t.same(paces.listSlow(), new Set());
	t.equal(paces.getFactor('b'), 1);
	paces.update(toLoads({a: 50, b: 1, c: 5000}, 10_000));
	t.equal(paces.getFactor('b'), 0.4);
	t.equal(paces.getFactor('c'), 1.3);
	t.end();
});

test('two endpoints are told apart by the faster one', t => {
	const paces = createPaceModel();
	paces.update(toLoads({a: 50, b: 38}));
	t.same(paces.listSlow(), new Set(['b']));
	t.end();
});
