// Guards against a stream that nobody watches any more once its caller has read slowly.
import {Buffer} from 'node:buffer';
import {Clock} from 'clock-mock';
import {test} from 'tap';
import {createWaitBaselines} from '@valvesaddle/admission';
import type {ExchangeListener} from '@valvesaddle/exchange';
import type {AnswerMetadata, WireFormat} from '@valvesaddle/gateway-types';
import {createLogger} from '@valvesaddle/logger';
import {createMetrics} from '@valvesaddle/metrics';
import {createRetryBudget} from '@valvesaddle/retry-budget';
import {createSelector} from '@valvesaddle/selection';
import {createForwarder, type ForwardRequest, type Reply} from '@valvesaddle/forwarding';

const answer: AnswerMetadata = {
	requestId: 'a', isSigned: true, isNotRun: false, isEventStream: true, isEncoded: false, isMisdirected: false, retryAfterMs: undefined, isLeaving: false,
};
const wire: WireFormat = {
	readRequest() {
		throw new TypeError('requests are passed decoded');
	},
	writeRequest: () => [],
	readAnswer: () => answer,
	writeAnswer: () => [],
};

function createRequest(): ForwardRequest {
	return {
		metadata: {
			requestId: 'a', waitMs: 60_000, apiKey: undefined, promptTokens: 100, outputTokens: 200, parts: [], lastEventId: -1,
		},
		route: {
			name: 'r',
			host: 'h',
			prefix: '/',
			kind: 'stream',
			timeoutMs: 60_000,
			latencyObjectiveMs: 300,
			priority: 1,
			targets: [],
			maximumAttempts: 2,
			isPublic: false,
			isResumable: true,
			pauseObjectiveMs: 100,
		},
		version: 1,
		pool: 'engines',
		isEnginePool: true,
		account: undefined,
		method: 'POST',
		path: '/',
		rawHeaders: [],
		body: undefined,
		arrivedAt: performance.now(),
	};
}

test('a stream whose endpoint falls silent while the caller reads slowly goes on elsewhere after the caller has read', t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	const selector = createSelector({
		interferenceWeight: 1, riskWeight: 1, reuseMs: 10_000, rereadMsPerToken: 0.3, prefillTokensPerMs: 50,
	});
	selector.setPools([{name: 'engines', engine: {slots: 64, cacheTokens: 600_000}}]);
	for (const id of ['i-1', 'i-2']) {
		selector.addEndpoint({
			id, pool: 'engines', address: id, dataCentre: 'a', slots: 64, state: 'ready',
		});
	}

	const sent: Array<{readonly address: string; readonly listener: ExchangeListener}> = [];
	const forwarder = createForwarder({
		wire,
		selector,
		exchanges: {
			hasIdle: () => false,
			send({address}, listener) {
				sent.push({address, listener});
				listener.onSent();
				return {
					abort() {
						// The listener is not called again.
					},
					resume() {
						// The endpoint sends nothing.
					},
				};
			},
			closeAddress() {
				// No connection is open.
			},
			async close() {
				// Nothing is open.
			},
		},
		budget: createRetryBudget({
			ratio: 0.2, slack: 50, windowMs: 10_000, countNodes: () => 1,
		}),
		waits: createWaitBaselines(),
		admission: {lateFactor: 1.3, waitFactor: 0.5, retryAfterFactor: 1.5},
		logger: createLogger({node: 'n', level: 'silent'}),
		metrics: createMetrics(),
	});
	let resume = (): void => {
		throw new TypeError('not paused');
	};

	const reply: Reply = {
		answer() {
			t.fail('no whole answer');
		},
		start() {
			// The caller has the head.
		},
		write: () => false,
		onDrain(handle) {
			resume = handle;
		},
		end() {
			t.fail('no end');
		},
		abort() {
			t.fail('no end within the answer');
		},
		refuse() {
			t.fail('no refusal');
		},
	};
	const task = forwarder.forward(createRequest(), reply);
	const [{listener}] = sent as [typeof sent[number]];
	listener.onHead(200, {});
	t.equal(listener.onData(Buffer.from('id: 0\ndata: x\n\n')), 'pause');
	for (let passed = 0; passed < 5000; passed += 50) {
		clock.advance(50);
		selector.takeLoadUpdate();
	}

	t.equal(sent.length, 1, 'the endpoint is not timed while it has to wait');
	resume();
	for (let passed = 0; passed < 1500; passed += 50) {
		clock.advance(50);
		selector.takeLoadUpdate();
	}

	t.equal(sent.length, 2);
	task.cancel();
	t.end();
});
