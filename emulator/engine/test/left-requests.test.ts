import {test} from 'tap';
import {
	createEngine,
	type Engine,
	type EngineJob,
	type EngineProfile,
} from '@valvesaddle/emulator-engine';

const profile: EngineProfile = {
	slots: 4, queue: 4, cacheTokens: 100_000, stepMs: 5, stepMsPerSequence: 0, stepMsPerThousandTokens: 0, prefillTokensPerMs: 50, prefillTokensPerStep: 2000, msPerMillionPairs: 0, tokensPerEvent: 3,
};

function createJob(id: string, change: Partial<EngineJob> = {}): EngineJob {
	return {
		id, promptTokens: 4000, shared: [], events: 4, firstEvent: 0, urgency: 0, onEvent() {
			// Not checked.
		}, onEnd() {
			// Not checked.
		}, onRefused() {
			// Not checked.
		}, ...change,
	};
}

/**
Runs steps until the engine is idle; returns their total duration, in milliseconds.
*/
function runToEnd(engine: Engine): number {
	let total = 0;
	for (let milliseconds = engine.startStep(); milliseconds !== undefined; milliseconds = engine.startStep()) {
		total += milliseconds;
		engine.endStep();
	}

	return total;
}

function runSteps(engine: Engine, count: number): number {
	let total = 0;
	for (let step = 0; step < count; step++) {
		total += engine.startStep() ?? 0;
		engine.endStep();
	}

	return total;
}

type Watch = {
	readonly ends: number[];
	readonly work: unknown[];
	readonly request: Parameters<Engine['remove']>[1];
};

function createWatch(): Watch {
	const ends: number[] = [];
	const work: unknown[] = [];
	return {
		ends,
		work,
		request: {
			onRemoved(thrownAway) {
				work.push(thrownAway);
			},
			onEnd(delayMs) {
				ends.push(delayMs);
			},
		},
	};
}

test('a request that is removed from an engine without others would have ended when it does if it stays', t => {
	const stays = createEngine(profile);
	stays.add(createJob('a'));
	const expectedMs = runToEnd(stays);
	const engine = createEngine(profile);
	engine.add(createJob('a'));
	const beforeMs = runSteps(engine, 3);
	const {ends, work, request} = createWatch();
	engine.remove('a', request);
	t.same(work, [{prefilledTokens: 4000, generatedTokens: 2}]);
	t.equal(engine.startStep(), undefined);
	t.equal(ends.length, 1);
	t.equal(beforeMs + ends[0]!, expectedMs);
	t.end();
});

test('a request that is removed keeps its place among the others, which take no notice of it', t => {
	const createFilled = (): Engine => {
		const engine = createEngine(profile);
		engine.add(createJob('first', {promptTokens: 8000, events: 30}));
		engine.add(createJob('left'));
		engine.add(createJob('last', {promptTokens: 8000, events: 30}));
		return engine;
	};

	const stays = createFilled();
	let expectedMs = 0;
	const stayed: string[] = [];
	stays.remove('left');
	stays.add(createJob('left', {
		urgency: -1, onEnd() {
			stayed.push('left');
		},
	}));
	while (stayed.length === 0) {
		expectedMs += runSteps(stays, 1);
	}

	const engine = createFilled();
	engine.remove('left');
	engine.add(createJob('left', {urgency: -1}));
	const {ends, request} = createWatch();
	engine.remove('left', request);
	let elapsedMs = 0;
	while (ends.length === 0) {
		elapsedMs += runSteps(engine, 1);
	}

	const withoutIt = createEngine(profile);
	withoutIt.add(createJob('first', {promptTokens: 8000, events: 30}));
	withoutIt.add(createJob('last', {promptTokens: 8000, events: 30}));
	t.equal(elapsedMs + runToEnd(engine), runToEnd(withoutIt));
	// Its first tokens came with steps that also prefilled the others.
	t.ok(Math.abs(elapsedMs + ends[0]! - expectedMs) <= 0.2 * expectedMs, `${elapsedMs + ends[0]!} and ${expectedMs} ms`);
	t.end();
});

test('a request that is removed never ends if its engine loses its requests', t => {
	const engine = createEngine(profile);
	engine.add(createJob('a'));
	runSteps(engine, 1);
	const {ends, request} = createWatch();
	engine.remove('a', request);
	engine.drop();
	engine.add(createJob('b'));
	runToEnd(engine);
	t.same(ends, []);
	t.end();
});
