import {Clock} from 'clock-mock';
import {test, type Test} from 'tap';
import {createStallDetector} from '../src/create-stall-detector.ts';

const timeouts = {beforeFirstTokenMs: 1000, betweenTokensMs: 200};

function start(t: Test, canAbort = true) {
	const clock = new Clock();
	t.teardown(clock.enter());
	const own = new AbortController();
	return {clock, own, detector: createStallDetector({timeouts, signal: own.signal, mayAbort: () => canAbort})};
}

test('an attempt without a first token is aborted at its timeout and not before', t => {
	const {clock, detector} = start(t);
	clock.advance(999);
	t.notOk(detector.signal.aborted);
	clock.advance(1);
	t.ok(detector.signal.aborted);
	t.ok(detector.isStalled());
	t.end();
});

test('an attempt that may not be aborted between its tokens goes on', t => {
	const {clock, detector} = start(t, false);
	detector.recordToken();
	clock.advance(5000);
	t.notOk(detector.isStalled());
	t.end();
});

test('each token restarts the timeout', t => {
	const {clock, detector} = start(t);
	for (let token = 0; token < 20; token++) {
		detector.recordToken();
		clock.advance(199);
	}

	t.notOk(detector.isStalled());
	clock.advance(1);
	t.ok(detector.isStalled());
	t.end();
});

test('without budget for a retry an attempt is not aborted before its first token', t => {
	const {clock, detector} = start(t, false);
	clock.advance(5000);
	t.notOk(detector.isStalled());
	t.end();
});

test('a cancelled request is aborted but not reported as stalled', t => {
	const {own, detector} = start(t);
	own.abort();
	t.ok(detector.signal.aborted);
	t.notOk(detector.isStalled());
	detector.close();
	t.end();
});
