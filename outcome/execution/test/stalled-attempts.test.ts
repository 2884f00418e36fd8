/*
Guards against a silent attempt that is ended although its request cannot go on at another endpoint.
*/
import {Clock} from 'clock-mock';
import {okAsync} from 'neverthrow';
import {test, type Test} from 'tap';
import {createAnswerStore, type AnswerPage} from '@valvesaddle/answers';
import type {EngineEvent} from '@valvesaddle/engine';
import {ValvesaddleError} from '@valvesaddle/error';
import {createMetrics} from '@valvesaddle/metrics';
import {createTracing} from '@valvesaddle/tracing';
import {createExecutor, type ExecutorOptions, type Job} from '@valvesaddle/execution';

const stallMs = 60_000;

type AcquireParameters = {readonly requestId: string; readonly ranMs: number};

type EngineCall = {
	readonly signal: AbortSignal;
	/**
	Sends the next event; `undefined` ends the answer.
	*/
	readonly send: (event: EngineEvent | undefined) => void;
	readonly fail: (error: ValvesaddleError) => void;
};

function createJob(requestId: string): Job {
	return {
		requestId,
		account: 'sawmill',
		pool: {
			name: 'drafting', kind: 'engine', model: 'drafting', region: 'r', repeatable: true, interTokenTargetMs: 52, dispatchers: 1,
		},
		requestClass: {
			name: 'gate', priority: 0, urgent: true, firstTokenTargetMs: 500, maximumWaitMs: 1000, weight: 1, floor: 0,
		},
		session: undefined,
		promptTokens: 1,
		claim: undefined,
		trace: {},
		arrivedAt: performance.now(),
		work: {kind: 'engine', body: {}},
	};
}

/**
An executor before engines that do what the test says.
*/
function startExecutor(t: Test) {
	const calls: EngineCall[] = [];
	const called: Array<() => void> = [];
	const runs: number[] = [];
	const answers = createAnswerStore({retentionMs: 60_000, maximumCharacters: 1_000_000});
	t.teardown(answers.close);

	async function * stream(_request: unknown, signal: AbortSignal): AsyncGenerator<EngineEvent, void> {
		let next = Promise.withResolvers<EngineEvent | undefined>();
		const reject = (error: ValvesaddleError): void => {
			next.reject(error);
		};

		signal.addEventListener('abort', () => {
			reject(new ValvesaddleError('ERR_VALVESADDLE_CANCELLED', 'aborted'));
		});
		calls.push({
			signal,
			send(event) {
				next.resolve(event);
			},
			fail: reject,
		});
		called.shift()?.();
		for (;;) {
			// eslint-disable-next-line no-await-in-loop -- events come in order
			const event = await next.promise;
			next = Promise.withResolvers();
			if (event === undefined) {
				return;
			}

			yield event;
		}
	}

	const executor = createExecutor({
		node: 'n1',
		dispatch: {
			acquire({requestId, ranMs}: AcquireParameters) {
				runs.push(ranMs);
				return okAsync({grantId: `${requestId}-${calls.length}`, endpointId: `e${calls.length}`, url: ''});
			},
			progress() {
				// Not under test.
			},
			release() {
				// Not under test.
			},
		},
		engines: {stream},
		claims: {},
		answers,
		abandonMs: stallMs * 10,
		tracing: createTracing({
			node: 'n1', exporter: 'none', url: undefined, ratio: 0,
		}),
		metrics: createMetrics(),
	} as unknown as ExecutorOptions);

	/**
	Waits until the engines were called this often.
	*/
	async function waitForCalls(count: number): Promise<void> {
		while (calls.length < count) {
			const {promise, resolve} = Promise.withResolvers<void>();
			called.push(resolve);
			// eslint-disable-next-line no-await-in-loop -- one call at a time
			await promise;
		}
	}

	const clock = new Clock();
	t.teardown(clock.enter());
	return {
		executor, calls, runs, clock, waitForCalls,
	};
}

const complete: AnswerPage['end'] = {kind: 'complete', finishReason: 'stop', tokens: 1};

test('an answer that no other endpoint can continue is not ended when it pauses', async t => {
	const {executor, calls, clock, waitForCalls} = startExecutor(t);
	const log = executor.start(createJob('n1_1'));
	await waitForCalls(1);
	calls[0]!.send({kind: 'delta', delta: {tool_calls: [{index: 0}]}, text: ''});
	await log.read(0);
	clock.advance(stallMs);
	t.notOk(calls[0]!.signal.aborted);
	calls[0]!.send(undefined);
	t.same((await log.read(1)).end, complete);
});

test('the last attempt that a request has is not ended when it is silent', async t => {
	const {executor, calls, clock, waitForCalls} = startExecutor(t);
	const log = executor.start(createJob('n1_1'));
	for (let attempt = 0; attempt < 4; attempt++) {
		// eslint-disable-next-line no-await-in-loop -- one attempt after the other
		await waitForCalls(attempt + 1);
		calls[attempt]!.fail(new ValvesaddleError('ERR_VALVESADDLE_ENDPOINT_NOT_RUN', 'refused'));
	}

	await waitForCalls(5);
	clock.advance(stallMs);
	t.notOk(calls[4]!.signal.aborted);
	calls[4]!.send({kind: 'delta', delta: {content: 'yes'}, text: 'yes'});
	await log.read(0);
	calls[4]!.send(undefined);
	t.same((await log.read(1)).end, complete);
});

test('of attempts that are silent at the same time only as many are ended as the budgets allow to retry', async t => {
	const {executor, calls, clock, waitForCalls} = startExecutor(t);
	const logs = Array.from({length: 8}, (_, index) => executor.start(createJob(`n1_${index}`)));
	await waitForCalls(8);
	clock.advance(stallMs);
	const retried = calls.filter(({signal}) => signal.aborted).length;
	t.ok(retried > 0 && retried < 8, `${retried} of 8 ended`);
	await waitForCalls(8 + retried);
	for (const {signal, send} of calls) {
		if (!signal.aborted) {
			send({kind: 'delta', delta: {content: 'yes'}, text: 'yes'});
		}
	}

	await Promise.all(logs.map(async log => log.read(0)));
	for (const {send} of calls) {
		send(undefined);
	}

	const ends = await Promise.all(logs.map(async log => (await log.read(1)).end));
	t.same(ends, logs.map(() => complete));
});

test('an answer that breaks off does not count its time at the engine as time that it waited for one', async t => {
	const {executor, calls, runs, clock, waitForCalls} = startExecutor(t);
	const log = executor.start(createJob('n1_1'));
	await waitForCalls(1);
	calls[0]!.send({kind: 'delta', delta: {content: 'yes'}, text: 'yes'});
	await log.read(0);
	clock.advance(1000);
	calls[0]!.fail(new ValvesaddleError('ERR_VALVESADDLE_ENDPOINT_FAILED', 'broke off'));
	await waitForCalls(2);
	t.same(runs, [0, 1000]);
	calls[1]!.send(undefined);
	t.same((await log.read(1)).end, complete);
});

test('a request whose attempt broke off may wait as long as a new one, and one that was refused only for what is left', async t => {
	for (const [code, ranMs] of [['ERR_VALVESADDLE_ENDPOINT_FAILED', 1300], ['ERR_VALVESADDLE_ENDPOINT_NOT_RUN', 400]] as const) {
		const {executor, calls, runs, clock, waitForCalls} = startExecutor(t);
		// It has waited for 900 ms when it gets its first grant.
		const log = executor.start({...createJob('n1_1'), arrivedAt: performance.now() - 900});
		// eslint-disable-next-line no-await-in-loop -- one request after the other
		await waitForCalls(1);
		clock.advance(400);
		calls[0]!.fail(new ValvesaddleError(code, 'failed'));
		// eslint-disable-next-line no-await-in-loop -- one request after the other
		await waitForCalls(2);
		t.same(runs, [0, ranMs], code);
		calls[1]!.send(undefined);
		// eslint-disable-next-line no-await-in-loop -- one request after the other
		await log.read(0);
	}
});
