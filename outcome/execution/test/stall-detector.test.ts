import {Clock} from 'clock-mock';
import {test, type Test} from 'tap';
import {createStallDetector} from '../src/create-stall-detector.ts';

const limits = {beforeFirstTokenMs: 1000, betweenTokensMs: 200};

function start(t: Test, canCut = true) {
	const clock = new Clock();
	t.teardown(clock.enter());
	const own = new AbortController();
	return {clock, own, watch: createStallDetector({limits, signal: own.signal, mayCut: () => canCut})};
}

test('an attempt without a first token is cut at its limit and not before', t => {
	const {clock, watch} = start(t);
	clock.advance(999);
	t.notOk(watch.signal.aborted);
	clock.advance(1);
	t.ok(watch.signal.aborted);
	t.ok(watch.isStalled());
	t.end();
});

test('each token gives the attempt its whole limit again', t => {
	const {clock, watch} = start(t);
	for (let token = 0; token < 20; token++) {
		watch.recordToken();
		clock.advance(199);
	}

	t.notOk(watch.isStalled());
	clock.advance(1);
	t.ok(watch.isStalled());
	t.end();
});

test('without budget for a retry an attempt is not cut before its first token', t => {
	const {clock, watch} = start(t, false);
	clock.advance(5000);
	t.notOk(watch.isStalled());
	t.end();
});

test('a request that its caller gave up is aborted, but not for silence', t => {
	const {own, watch} = start(t);
	own.abort();
	t.ok(watch.signal.aborted);
	t.notOk(watch.isStalled());
	watch.close();
	t.end();
});
