// Guards against a request that is moved away from an endpoint and then ends although another one could answer it.
import {Buffer} from 'node:buffer';
import {test, type Test} from 'tap';
import {ValvesaddleError} from '@valvesaddle/error';
import type {SelectionCriteria, Selector} from '@valvesaddle/selection';
import {eventStream, refusedStatus, startForwarding} from './start-forwarding.ts';

const firstEvent = Buffer.from('id: 0\ndata: first\n\n');
const lastEvent = Buffer.from('id: 1\ndata: last\n\n');

/**
Ejects the one endpoint that the request was not sent to.
*/
function ejectOther(selector: Selector, tried: readonly string[]): void {
	const criteria: SelectionCriteria = {
		pool: 'engines', objectiveMs: 300, pauseObjectiveMs: 0, urgency: 0, promptTokens: 0, parts: [], tried: new Set(tried),
	};
	const selection = selector.choose(criteria);
	if (selection === undefined) {
		throw new TypeError('no other endpoint');
	}

	selector.open(selection, criteria).close('gone');
}

test('a moved stream whose next endpoint is unreachable goes on at another one with the retry that it has spent', t => {
	const {clock, listeners, aborted} = startForwarding(t, {
		kind: 'stream', answer: eventStream, endpoints: ['i-1', 'i-2', 'i-3'], retries: 1,
	});
	listeners[0]?.onSent();
	listeners[0]?.onHead(200, {});
	listeners[0]?.onData(firstEvent);
	clock.advance(800);
	t.equal(listeners.length, 2);
	listeners[1]?.onFailure(new ValvesaddleError('ERR_VALVESADDLE_ENDPOINT_NOT_RUN', 'connection refused'));
	t.same(aborted, []);
	clock.advance(800);
	t.equal(listeners.length, 3);
	t.end();
});

test('a silent stream stays where it is while the only other endpoint is known to fail', t => {
	const {clock, selector, listeners, addresses} = startForwarding(t, {kind: 'stream', answer: eventStream});
	listeners[0]?.onSent();
	listeners[0]?.onHead(200, {});
	listeners[0]?.onData(firstEvent);
	ejectOther(selector, addresses);
	clock.advance(800);
	t.equal(listeners.length, 1);
	clock.advance(1000);
	t.equal(listeners.length, 2, 'moved once the other endpoint may be tried again');
	t.end();
});

/**
Starts a stream that pauses after its first event and a half, so that it is sent to a second endpoint.
*/
function startMove(t: Test) {
	const forwarding = startForwarding(t, {kind: 'stream', answer: eventStream, retries: 1});
	const {clock, listeners} = forwarding;
	listeners[0]?.onSent();
	listeners[0]?.onHead(200, {});
	listeners[0]?.onData(firstEvent);
	listeners[0]?.onData(lastEvent.subarray(0, 4));
	clock.advance(800);
	t.equal(listeners.length, 2);
	listeners[1]?.onSent();
	return forwarding;
}

test('a stream stays at its endpoint when the one that it is moved to refuses it', t => {
	const {listeners, addresses, aborted, events} = startMove(t);
	listeners[1]?.onHead(refusedStatus, {});
	listeners[1]?.onData(Buffer.from('full'));
	listeners[1]?.onEnd();
	t.same(aborted, []);
	listeners[0]?.onData(lastEvent.subarray(4));
	listeners[0]?.onEnd();
	t.same(events, [firstEvent, lastEvent].map(String));
	t.equal(addresses.length, 2);
	t.end();
});

test('a stream stays at its endpoint when that goes on before the other one has accepted it', t => {
	const {listeners, addresses, aborted, events} = startMove(t);
	listeners[0]?.onData(lastEvent.subarray(4));
	t.same(aborted, [addresses[1]]);
	listeners[0]?.onEnd();
	t.same(events, [firstEvent, lastEvent].map(String));
	t.end();
});

test('a moved stream is ended at its former endpoint once the other one has accepted it', t => {
	const {listeners, addresses, aborted, events} = startMove(t);
	listeners[1]?.onHead(200, {});
	t.same(aborted, [addresses[0]]);
	listeners[1]?.onData(lastEvent);
	listeners[1]?.onEnd();
	t.same(events, [firstEvent, lastEvent].map(String));
	t.end();
});

test('a moved stream does not run at two endpoints for longer than one needs to refuse it', t => {
	const {clock, addresses, aborted} = startMove(t);
	clock.advance(200);
	t.same(aborted, [addresses[0]]);
	t.end();
});

test('a moved stream goes on at the other endpoint when its former one breaks off meanwhile', t => {
	const {listeners, events} = startMove(t);
	listeners[0]?.onFailure(new ValvesaddleError('ERR_VALVESADDLE_ENDPOINT_FAILED', 'other side closed'));
	listeners[1]?.onHead(200, {});
	listeners[1]?.onData(lastEvent);
	listeners[1]?.onEnd();
	t.same(events, [firstEvent, lastEvent].map(String));
	t.end();
});

test('a moved stream whose caller disconnects is ended at both endpoints', t => {
	const {task, addresses, aborted} = startMove(t);
	task.cancel();
	t.same(aborted.toSorted(), addresses.toSorted());
	t.end();
});

test('a silent stream without a retry is checked again without choosing an endpoint', t => {
	const {clock, listeners, countChoices} = startForwarding(t, {kind: 'stream', answer: eventStream, retries: 0});
	listeners[0]?.onSent();
	listeners[0]?.onHead(200, {});
	listeners[0]?.onData(firstEvent);
	clock.advance(5000);
	t.equal(countChoices(), 1);
	t.equal(listeners.length, 1);
	t.end();
});
