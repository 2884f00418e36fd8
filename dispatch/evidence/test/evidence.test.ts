/*
Load: an endpoint fails while its pool serves, a pool fails as a whole, one request fails everywhere.
*/
import fc from 'fast-check';
import {test} from 'tap';
import {
	addEvidence,
	advanceEjection,
	advanceEvidence,
	countEjectable,
	findFailing,
	isPoolFailing,
	noEvidence,
	predictEjectionMs,
	type Ejection,
	type EndpointEvidence,
	type KnownEvidence,
} from '@valvesaddle/evidence';

function createPool(counts: ReadonlyArray<readonly [answers: number, failures: number]>): readonly KnownEvidence[] {
	return counts.map(([answers, failures], index) => ({endpoint: `e-${index}`, evidence: {...noEvidence, answers, failures}}));
}

const counts = fc.record({answers: fc.double({min: 0, max: 1e6, noNaN: true}), share: fc.double({min: 0, max: 1, noNaN: true})});
const pools = fc.array(counts, {maxLength: 40}).map(list => createPool(list.map(({answers, share}) => [answers, answers * share])));

test('two of six endpoints that fail all requests stand out, also among few', t => {
	t.same(findFailing({pool: createPool([[10, 10], [4, 4], [12, 0], [9, 0], [11, 1], [10, 0]]), ejected: new Set()}), ['e-0', 'e-1']);
	t.same(findFailing({pool: createPool([[3, 3], [9, 0]]), ejected: new Set()}), ['e-0']);
	t.end();
});

test('no endpoint of a pool that fails as a whole stands out', t => {
	const pool = createPool([[20, 9], [18, 11], [22, 9], [19, 7], [21, 10], [8, 7]]);
	t.same(findFailing({pool, ejected: new Set()}), []);
	t.ok(isPoolFailing(pool.map(({evidence}) => evidence)));
	t.notOk(isPoolFailing(createPool([[20, 20], [20, 0], [20, 0]]).map(({evidence}) => evidence)), 'one failing endpoint is not the pool');
	t.end();
});

test('one request that fails everywhere, sent twice, is no evidence against an endpoint', t => {
	t.same(findFailing({pool: createPool([[2, 2], [2, 2], [2, 2]]), ejected: new Set()}), []);
	t.same(findFailing({pool: createPool([[2, 2], [0, 0], [0, 0]]), ejected: new Set()}), []);
	t.end();
});

test('never more than half a pool is ejected, and no endpoint twice', t => {
	fc.assert(fc.property(pools, fc.nat(40), (pool, ejectedCount) => {
		const ejected = new Set(pool.slice(0, Math.min(ejectedCount, Math.floor(pool.length / 2))).map(({endpoint}) => endpoint));
		const failing = findFailing({pool, ejected});
		return new Set([...failing, ...ejected]).size === failing.length + ejected.size && failing.length + ejected.size <= pool.length / 2;
	}));
	t.end();
});

test('an ejected endpoint is left alone, probed, and returned by answers or ejected for longer by a failure', t => {
	const [{evidence: failed}] = createPool([[9, 9]]) as [KnownEvidence];
	const step = (before: Ejection | undefined, evidence: EndpointEvidence, now: number) => advanceEjection(before, {evidence, isFailing: evidence === failed, now});
	const out = step(undefined, failed, 0);
	t.same(out, {state: 'out', until: 1000, count: 1});
	t.equal(step(out, failed, 1500)?.state, 'out', 'its failures are not forgotten yet');
	const probing = step(out, noEvidence, 1000);
	t.equal(probing?.state, 'probing');
	t.equal(step(probing, {...noEvidence, answers: 1}, 1100)?.state, 'probing', 'one answer may be luck');
	t.equal(step(probing, {...noEvidence, answers: 1.6}, 1200), undefined);
	t.same(step(probing, {...noEvidence, answers: 1, failures: 1}, 1200), {state: 'out', until: 3200, count: 2});
	t.end();
});

test('evidence ages until nothing is left, and a difference of sums is never negative', t => {
	let evidence: EndpointEvidence | undefined = {
		answers: 9, failures: 9, timedAnswers: 9, serviceMs: 270,
	};
	let steps = 0;
	for (; evidence !== undefined; evidence = advanceEvidence(evidence)) {
		steps++;
	}

	t.ok(steps <= 9, 'gone within 2.7 s');
	t.equal(addEvidence(noEvidence, {...noEvidence, failures: -2}).failures, 0);
	t.end();
});

test('times and shares of ejections are those of both halves', t => {
	t.same([0, 1, 2, 9].map(ejections => predictEjectionMs({ejections, firstMs: 1000, maximumMs: 4000})), [1000, 2000, 4000, 4000]);
	t.equal(countEjectable({endpoints: 10, ejected: 1, maximumShare: 0.3}), 2);
	t.equal(countEjectable({endpoints: 2, ejected: 1, maximumShare: 0.3}), 0);
	t.end();
});
