/*
Guards against requests that are given up while a place would have come free in time, and against requests that wait although nobody waits for them.
*/
import {test, type Test} from 'tap';
import type {ValvesaddleError} from '@valvesaddle/error';
import {eventStream, refusedStatus, startForwarding} from './start-forwarding.ts';

const endpoints = ['i-1', 'i-2', 'i-3', 'i-4', 'i-5', 'i-6', 'i-7'];

type Forwarding = ReturnType<typeof startForwarding>;

function startStream(t: Test, isWaiting: boolean, options: {readonly endpoints?: readonly string[]; readonly retries?: number} = {}) {
	const refused: ValvesaddleError[] = [];
	return {
		refused,
		...startForwarding(t, {
			kind: 'stream', answer: eventStream, endpoints, isWaiting, ...options, onRefuse(error) {
				refused.push(error);
			},
		}),
	};
}

/**
The endpoint of the last attempt refuses it since it is full.
*/
function refuseLast({listeners}: Pick<Forwarding, 'listeners'>): void {
	const listener = listeners.at(-1);
	listener?.onSent();
	listener?.onHead(refusedStatus, {});
	listener?.onEnd();
}

/**
Every endpoint refuses the request, one after the other.
*/
function refuseAll(forwarding: Pick<Forwarding, 'listeners'>): void {
	for (const _endpoint of endpoints) {
		refuseLast(forwarding);
	}
}

test('a request that all endpoints refuse waits for the first place that comes free, where it is given up today', t => {
	const today = startStream(t, false);
	refuseAll(today);
	t.match(today.refused, [{code: 'ERR_VALVESADDLE_ENDPOINTS_BUSY'}]);
	t.equal(today.listeners.length, 5);

	const waiting = startStream(t, true);
	refuseAll(waiting);
	t.equal(waiting.listeners.length, 7);
	t.equal(waiting.room?.count(), 1);
	waiting.clock.advance(80);
	t.equal(waiting.listeners.length, 8);
	t.equal(waiting.room?.count(), 0);
	const last = waiting.listeners.at(-1);
	last?.onSent();
	last?.onHead(200, {});
	last?.onEnd();
	t.same(waiting.refused, []);
	t.end();
});

test('a caller that leaves while its request waits ends it', t => {
	const forwarding = startStream(t, true);
	refuseAll(forwarding);
	forwarding.task.cancel();
	t.equal(forwarding.room?.count(), 0);
	forwarding.clock.advance(1000);
	t.equal(forwarding.listeners.length, 7);
	t.same(forwarding.refused, []);
	t.end();
});

test('a node that stops while requests wait tells their callers at once that they have not run', t => {
	const forwarding = startStream(t, true);
	refuseAll(forwarding);
	forwarding.task.fail({endedBy: 'node', cause: 'shutdown', reason: 'the node stops'});
	t.match(forwarding.refused, [{code: 'ERR_VALVESADDLE_DRAINING', traits: {ran: 'no'}}]);
	t.equal(forwarding.room?.count(), 0);
	forwarding.clock.advance(1000);
	t.equal(forwarding.listeners.length, 7);
	t.end();
});

test('a request that waits goes to an endpoint that joins', t => {
	const forwarding = startStream(t, true, {endpoints: ['i-1']});
	refuseLast(forwarding);
	t.equal(forwarding.room?.count(), 1);
	forwarding.selector.addEndpoint({
		id: 'i-9', pool: 'engines', address: 'i-9', dataCentre: 'a', slots: 64, state: 'ready',
	});
	forwarding.clock.advance(4);
	t.same(forwarding.addresses, ['i-1', 'i-9']);
	t.end();
});

test('a request whose endpoints die while it waits goes to the one that is left, and is refused at once when there is none', t => {
	const forwarding = startStream(t, true, {endpoints: ['i-1', 'i-2']});
	refuseLast(forwarding);
	refuseLast(forwarding);
	forwarding.selector.removeEndpoint(forwarding.addresses[0]!);
	forwarding.clock.advance(80);
	t.same(forwarding.addresses[2], forwarding.addresses[1]);
	refuseLast(forwarding);
	forwarding.selector.removeEndpoint(forwarding.addresses[1]!);
	forwarding.clock.advance(22);
	t.match(forwarding.refused, [{traits: {ran: 'no'}}]);
	t.equal(forwarding.room?.count(), 0);
	t.end();
});

test('a request that waits is answered at its deadline', t => {
	const forwarding = startStream(t, true, {endpoints: ['i-1']});
	for (let refusal = 0; refusal < 1000 && forwarding.refused.length === 0; refusal++) {
		refuseLast(forwarding);
		forwarding.clock.advance(100);
	}

	t.equal(forwarding.refused.length, 1);
	t.match(forwarding.refused, [{traits: {ran: 'no'}}]);
	t.equal(forwarding.room?.count(), 0);
	t.end();
});

test('each attempt after a refusal spends a retry, and without one the request waits instead of sending', t => {
	const forwarding = startStream(t, true, {endpoints: ['i-1', 'i-2', 'i-3'], retries: 1});
	refuseLast(forwarding);
	t.equal(forwarding.listeners.length, 2);
	refuseLast(forwarding);
	t.equal(forwarding.listeners.length, 2);
	t.equal(forwarding.room?.count(), 1);
	forwarding.clock.advance(200);
	t.equal(forwarding.listeners.length, 2);
	t.end();
});
