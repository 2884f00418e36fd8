// Guards against a stream that nobody watches any more once its caller has read slowly.
import {Buffer} from 'node:buffer';
import {test} from 'tap';
import {eventStream, startForwarding} from './start-forwarding.ts';

test('a stream whose endpoint falls silent while the caller reads slowly goes on elsewhere after the caller has read', t => {
	const {
		clock, selector, listeners, drain,
	} = startForwarding(t, {kind: 'stream', answer: eventStream, isReadLate: true});
	listeners[0]?.onSent();
	listeners[0]?.onHead(200, {});
	t.equal(listeners[0]?.onData(Buffer.from('id: 0\ndata: x\n\n')), 'pause');
	for (let passed = 0; passed < 5000; passed += 50) {
		clock.advance(50);
		selector.takeLoadUpdate();
	}

	t.equal(listeners.length, 1, 'the endpoint is not timed while it has to wait');
	drain();
	for (let passed = 0; passed < 1500; passed += 50) {
		clock.advance(50);
		selector.takeLoadUpdate();
	}

	t.equal(listeners.length, 2);
	t.end();
});
