import {test} from 'tap';
import {
	createEngine,
	type Engine,
	type EngineJob,
	type EngineProfile,
} from '@valvesaddle/emulator-engine';

const profile: EngineProfile = {
	slots: 2, queue: 2, cacheTokens: 10_000, stepMs: 5, stepMsPerSequence: 0, stepMsPerThousandTokens: 0, prefillTokensPerMs: 50, prefillTokensPerStep: 2000, msPerMillionPairs: 0, tokensPerEvent: 3,
};

function createJob(id: string, change: Partial<EngineJob> = {}): {readonly job: EngineJob; readonly events: number[]; readonly ends: string[]} {
	const events: number[] = [];
	const ends: string[] = [];
	return {
		events,
		ends,
		job: {
			id, promptTokens: 4000, shared: [], events: 2, firstEvent: 0, urgency: 0, onEvent(number) {
				events.push(number);
			}, onEnd() {
				ends.push('end');
			}, onRefused() {
				ends.push('refused');
			}, ...change,
		},
	};
}

/**
Runs steps and returns their total duration, in milliseconds.
*/
function runSteps(engine: Engine, count: number): number {
	let milliseconds = 0;
	for (let step = 0; step < count; step++) {
		milliseconds += engine.startStep() ?? 0;
		engine.endStep();
	}

	return milliseconds;
}

test('a prompt is prefilled over several steps, then an event is sent with its first output token and with every third after it', t => {
	const engine = createEngine(profile);
	const {job, events, ends} = createJob('a');
	engine.add(job);
	t.equal(runSteps(engine, 1), 45);
	t.same(events, []);
	t.equal(runSteps(engine, 1), 45);
	t.same(events, [0]);
	t.equal(runSteps(engine, 3), 15);
	t.same(events, [0, 1]);
	t.same(ends, ['end']);
	t.equal(engine.startStep(), undefined);
	t.end();
});

test('the more urgent prompt is prefilled first, but not before one whose prefill has started', t => {
	const engine = createEngine(profile);
	const begun = createJob('begun', {urgency: 5});
	engine.add(begun.job);
	runSteps(engine, 1);
	const routine = createJob('routine', {urgency: 4});
	const urgent = createJob('urgent');
	engine.add(routine.job);
	engine.add(urgent.job);
	runSteps(engine, 1);
	t.same(begun.events, [0]);
	runSteps(engine, 2);
	t.same([urgent.events, routine.events], [[0], []]);
	t.end();
});

test('shared parts are cached and prefilled again only after eviction', t => {
	const engine = createEngine({...profile, prefillTokensPerStep: 100_000});
	const shared = (id: string) => [{id, tokens: 6000}];
	for (const id of ['rules', 'rules', 'other', 'rules']) {
		engine.add(createJob(id, {promptTokens: 7000, shared: shared(id), events: 1}).job);
		runSteps(engine, 1);
	}

	t.same(engine.counts(), {prefilledTokens: 7000 + 1000 + 7000 + 7000, recomputedTokens: 6000, preempted: 0});
	t.end();
});

test('the newest of the least urgent requests is preempted when the KV cache is full, and a full queue refuses', t => {
	const engine = createEngine({
		...profile, slots: 2, cacheTokens: 4010, prefillTokensPerStep: 100_000,
	});
	const urgent = createJob('urgent', {promptTokens: 2000, events: 5});
	const routine = createJob('routine', {promptTokens: 2000, events: 5, urgency: 3});
	engine.add(routine.job);
	engine.add(urgent.job);
	runSteps(engine, 14);
	t.equal(engine.counts().preempted, 1);
	t.same([urgent.ends, routine.ends], [['end'], []]);
	runSteps(engine, 20);
	t.same(routine.ends, ['end']);
	t.same(routine.events, [0, 1, 2, 3, 4]);
	for (let index = 0; index < 4; index++) {
		engine.add(createJob(`q-${index}`).job);
	}

	const last = createJob('last');
	engine.add(last.job);
	t.same(last.ends, ['refused']);
	t.end();
});
