// Guards against taking an endpoint for silent that had nothing to answer yet, or that is answering.
import {Buffer} from 'node:buffer';
import {test} from 'tap';
import {eventStream, startForwarding, wholeAnswer} from './start-forwarding.ts';

test('an endpoint is timed from when the request was sent, not while the connection opens', t => {
	const {clock, listeners} = startForwarding(t, {kind: 'stream', answer: eventStream});
	clock.advance(170);
	listeners[0]?.onSent();
	clock.advance(100);
	t.equal(listeners.length, 1);
	clock.advance(100);
	t.equal(listeners.length, 2);
	t.end();
});

test('a whole answer whose chunks keep arriving is not taken for silent', t => {
	const {clock, listeners, answers} = startForwarding(t, {kind: 'safe', answer: wholeAnswer});
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
	const {clock, listeners} = startForwarding(t, {kind: 'safe', answer: wholeAnswer});
	listeners[0]?.onSent();
	listeners[0]?.onHead(200, {});
	listeners[0]?.onData(Buffer.from('x'));
	clock.advance(800);
	t.equal(listeners.length, 2);
	t.end();
});
