import {once} from 'node:events';
import {connect, createServer, type AddressInfo} from 'node:net';
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

test('an attempt whose token waits to be read after a standstill of the node is not aborted', async t => {
	const detector = createStallDetector({timeouts: {beforeFirstTokenMs: 50, betweenTokensMs: 50}, signal: new AbortController().signal, mayAbort: () => true});
	t.teardown(detector.close);
	const server = createServer(socket => {
		socket.write('token');
		// Nothing is read or written for longer than the timeout.
		Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 200);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	const socket = connect(port, '127.0.0.1');
	t.teardown(() => {
		socket.destroy();
		server.close();
	});
	socket.once('data', () => {
		detector.recordToken();
		detector.close();
	});
	await once(socket, 'data');
	t.notOk(detector.isStalled());
});
