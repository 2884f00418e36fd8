// Guards against taking an endpoint for silent that had nothing to answer yet, or that is answering.
import {Buffer} from 'node:buffer';
import {Clock} from 'clock-mock';
import {test, type Test} from 'tap';
import {createWaitBaselines} from '@valvesaddle/admission';
import type {ExchangeListener} from '@valvesaddle/exchange';
import type {AnswerMetadata, RouteKind, WireFormat} from '@valvesaddle/gateway-types';
import {createLogger} from '@valvesaddle/logger';
import {createMetrics} from '@valvesaddle/metrics';
import {createRetryBudget} from '@valvesaddle/retry-budget';
import {createSelector} from '@valvesaddle/selection';
import {createForwarder, type ForwardRequest, type Reply} from '@valvesaddle/forwarding';

const events: AnswerMetadata = {
	requestId: 'a', isSigned: true, isNotRun: false, isEventStream: true, isEncoded: false, isMisdirected: false, retryAfterMs: undefined, isLeaving: false,
};
const whole: AnswerMetadata = {...events, isEventStream: false};

function createWire(answer: AnswerMetadata): WireFormat {
	return {
		readRequest() {
			throw new TypeError('requests are passed decoded');
		},
		writeRequest: () => [],
		readAnswer: () => answer,
		writeAnswer: () => [],
	};
}

function createRequest(kind: RouteKind): ForwardRequest {
	return {
		metadata: {
			requestId: 'a', waitMs: 60_000, apiKey: undefined, promptTokens: 100, outputTokens: 200, parts: [], lastEventId: -1,
		},
		route: {
			name: 'r',
			host: 'h',
			prefix: '/',
			kind,
			timeoutMs: 60_000,
			latencyObjectiveMs: 300,
			priority: 1,
			targets: [],
			maximumAttempts: 2,
			isPublic: false,
			isResumable: kind === 'stream',
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

/**
Forwards a request to one of two endpoints, whose answers the test gives.
*/
function startForwarding(t: Test, kind: RouteKind, answer: AnswerMetadata) {
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

	const listeners: ExchangeListener[] = [];
	const answers: string[] = [];
	const forwarder = createForwarder({
		wire: createWire(answer),
		selector,
		exchanges: {
			hasIdle: () => false,
			send(_request, listener) {
				listeners.push(listener);
				return {
					abort() {
						// The listener is not called again.
					},
					resume() {
						// Callers read without delay.
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
	const reply: Reply = {
		answer(_status, _headers, body) {
			answers.push(Buffer.from(body).toString());
		},
		start() {
			// The caller has the head.
		},
		write: () => true,
		onDrain() {
			// Callers read without delay.
		},
		end() {
			// The answer is complete.
		},
		abort() {
			t.fail('no end within the answer');
		},
		refuse() {
			t.fail('no refusal');
		},
	};
	const task = forwarder.forward(createRequest(kind), reply);
	t.teardown(task.cancel);
	return {clock, listeners, answers};
}

test('an endpoint is timed from when the request was sent, not while the connection opens', t => {
	const {clock, listeners} = startForwarding(t, 'stream', events);
	clock.advance(170);
	listeners[0]?.onSent();
	clock.advance(100);
	t.equal(listeners.length, 1);
	clock.advance(100);
	t.equal(listeners.length, 2);
	t.end();
});

test('a whole answer whose chunks keep arriving is not taken for silent', t => {
	const {clock, listeners, answers} = startForwarding(t, 'safe', whole);
	listeners[0]?.onSent();
	listeners[0]?.onHead(200, {});
	for (let chunk = 0; chunk < 20; chunk++) {
		clock.advance(50);
		listeners[0]?.onData(Buffer.from('x'));
	}

	listeners[0]?.onEnd();
	t.equal(listeners.length, 1);
	t.same(answers, ['x'.repeat(20)]);
	t.end();
});

test('a whole answer that stops within its body is sent for elsewhere', t => {
	const {clock, listeners} = startForwarding(t, 'safe', whole);
	listeners[0]?.onSent();
	listeners[0]?.onHead(200, {});
	listeners[0]?.onData(Buffer.from('x'));
	clock.advance(800);
	t.equal(listeners.length, 2);
	t.end();
});
