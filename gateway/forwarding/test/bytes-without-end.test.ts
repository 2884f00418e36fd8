// Guards against endpoints that send bytes without end: their callers would wait, and the node would hold all of them.
import {Buffer} from 'node:buffer';
import {test} from 'tap';
import {
	eventStream,
	refusedStatus,
	startForwarding,
	wholeAnswer,
} from './start-forwarding.ts';
import type {Interruption} from '@valvesaddle/forwarding';

const chunk = Buffer.alloc(16_384, 'x');

/**
Sends chunks until the endpoint's connection is closed, or up to a number of bytes.
*/
function sendUntilClosed({listeners, aborted}: Pick<ReturnType<typeof startForwarding>, 'listeners' | 'aborted'>, most: number): number {
	let bytes = 0;
	while (aborted.length === 0 && bytes < most) {
		listeners[0]?.onData(chunk);
		bytes += chunk.length;
	}

	return bytes;
}

const failedStatus = 500;
const cases = [
	{
		name: 'a refusal', status: refusedStatus, mostBytes: 100_000, passMs: 500,
	},
	{
		name: 'a failure', status: failedStatus, mostBytes: 1_100_000, passMs: 2000,
	},
] as const;

for (const {name, status, mostBytes, passMs} of cases) {
	test(`${name} whose body does not end is cut by its bytes, and the request goes elsewhere`, t => {
		const forwarding = startForwarding(t, {kind: 'safe', answer: wholeAnswer});
		const {listeners, addresses, aborted, answers} = forwarding;
		listeners[0]?.onSent();
		listeners[0]?.onHead(status, {});
		t.ok(sendUntilClosed(forwarding, 20_000_000) <= mostBytes);
		t.same(aborted, addresses.slice(0, 1));
		t.equal(listeners.length, 2);
		listeners[1]?.onSent();
		listeners[1]?.onHead(200, {});
		listeners[1]?.onData(Buffer.from('whole'));
		listeners[1]?.onEnd();
		t.same(answers, ['whole']);
		t.end();
	});

	test(`${name} whose body comes a byte a second is cut after a time`, t => {
		const {clock, listeners, addresses, aborted} = startForwarding(t, {kind: 'unsafe', answer: wholeAnswer, ...(status === failedStatus && {hasRefusal: true})});
		listeners[0]?.onSent();
		listeners[0]?.onHead(status, {});
		for (let passed = 0; passed < passMs; passed += 100) {
			t.equal(aborted.length, 0);
			if (passed % 1000 === 0) {
				listeners[0]?.onData(Buffer.from('x'));
			}

			clock.advance(100);
		}

		clock.advance(1);
		t.same(aborted, addresses.slice(0, 1));
		t.equal(listeners.length, status === refusedStatus ? 2 : 1, 'only what did not run is sent elsewhere');
		t.end();
	});
}

test('an untrusted answer is cut at its head', t => {
	const {listeners, aborted} = startForwarding(t, {kind: 'safe', answer: {...wholeAnswer, isSigned: false}});
	listeners[0]?.onSent();
	listeners[0]?.onHead(200, {});
	t.equal(aborted.length, 1);
	t.equal(listeners.length, 2);
	t.end();
});

test('a stream whose event does not end is cut, and goes on elsewhere after the last whole event', t => {
	const forwarding = startForwarding(t, {kind: 'stream', answer: eventStream});
	const {listeners, events, aborted} = forwarding;
	listeners[0]?.onSent();
	listeners[0]?.onHead(200, {});
	listeners[0]?.onData(Buffer.from('id: 0\ndata: a\n\nid: 1\ndata: '));
	t.ok(sendUntilClosed(forwarding, 20_000_000) <= 1_100_000);
	t.equal(aborted.length, 1);
	listeners[1]?.onSent();
	listeners[1]?.onHead(200, {});
	listeners[1]?.onData(Buffer.from('id: 1\ndata: b\n\n'));
	listeners[1]?.onEnd();
	t.equal(events.join(''), 'id: 0\ndata: a\n\nid: 1\ndata: b\n\n');
	t.end();
});

test('a stream whose event does not end is ended incomplete when no other endpoint is left', t => {
	const interruptions: Interruption[] = [];
	const forwarding = startForwarding(t, {
		kind: 'stream', answer: eventStream, endpoints: ['i-1'], onAbort(interruption) {
			interruptions.push(interruption);
		},
	});
	forwarding.listeners[0]?.onSent();
	forwarding.listeners[0]?.onHead(200, {});
	sendUntilClosed(forwarding, 20_000_000);
	t.equal(interruptions.length, 1);
	t.end();
});
