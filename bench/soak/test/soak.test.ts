import {test} from 'tap';
import {createRandom} from '@valvesaddle/random';
import {failedSeeds} from '../src/failed-seeds.ts';
import {planFaults, runSoak} from '@valvesaddle/bench-soak';

const options = {lengthMs: 20_000, nodes: 3, endpoints: 4};

test('a seed plans the same faults every time, and other seeds plan others', t => {
	const plan = (seed: number) => planFaults({...options, random: createRandom(seed)});
	t.same(plan(7), plan(7));
	t.notSame(plan(7), plan(8));
	t.ok(plan(7).every(({at, until}) => at < until && until <= options.lengthMs));
	t.end();
});

test('every kind of fault comes in some plan', t => {
	const kinds = new Set(Array.from({length: 20}, (_value, seed) => planFaults({...options, random: createRandom(seed)}).map(({kind}) => kind)).flat());
	t.equal(kinds.size, 24);
	t.end();
});

const {seed, seconds} = failedSeeds.at(-1) ?? {seed: 1, seconds: 5};

test('processes keep the promises under the faults of a seed', async t => {
	const {breaches, observation} = await runSoak({seed, seconds, callers: 6});
	t.same(breaches, []);
	t.ok(observation.attempts.length > 0);
	t.ok(observation.runs.length > 0);
	t.ok(observation.read.size > 0);
});
