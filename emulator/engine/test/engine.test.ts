import {test} from 'tap';
import {
	createEngine,
	type Engine,
	type EngineJob,
	type EngineProfile,
} from '@valvesaddle/emulator-engine';

const speed: EngineProfile = {
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
Runs so many steps and tells how long they took.
*/
function runSteps(engine: Engine, count: number): number {
	let milliseconds = 0;
	for (let step = 0; step < count; step++) {
		milliseconds += engine.startStep() ?? 0;
		engine.endStep();
	}

	return milliseconds;
}

test('a prompt is read in chunks, then an event comes out with its first token and one with every third after it', t => {
	const engine = createEngine(speed);
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

test('the more urgent prompt is read first, but not before one that was begun', t => {
	const engine = createEngine(speed);
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

test('shared parts are kept and read again only when memory ran short', t => {
	const engine = createEngine({...speed, prefillTokensPerStep: 100_000});
	const shared = (id: string) => [{id, tokens: 6000}];
	for (const id of ['rules', 'rules', 'other', 'rules']) {
		engine.add(createJob(id, {promptTokens: 7000, shared: shared(id), events: 1}).job);
		runSteps(engine, 1);
	}

	t.same(engine.counts(), {prefilledTokens: 7000 + 1000 + 7000 + 7000, recomputedTokens: 6000, preempted: 0});
	t.end();
});

test('the newest of the least urgent requests is put back when memory runs out, and a full queue refuses', t => {
	const engine = createEngine({
		...speed, slots: 2, cacheTokens: 4010, prefillTokensPerStep: 100_000,
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
