// Guards against large answers that are thrown away after their request has run.
import {Buffer} from 'node:buffer';
import {test} from 'tap';
import {ValvesaddleError} from '@valvesaddle/error';
import {startForwarding, wholeAnswer} from './start-forwarding.ts';
import type {Interruption} from '@valvesaddle/forwarding';

/**
Over the limit of what is buffered, in bytes.
*/
const largeBytes = 9 * 1024 * 1024;
const rest = 'the rest';

for (const kind of ['safe', 'unsafe'] as const) {
	test(`a whole answer that is too large to be buffered reaches its caller: ${kind}`, t => {
		const {listeners, events} = startForwarding(t, {kind, answer: wholeAnswer});
		listeners[0]?.onSent();
		listeners[0]?.onHead(200, {});
		listeners[0]?.onData(Buffer.alloc(largeBytes));
		listeners[0]?.onData(Buffer.from(rest));
		listeners[0]?.onEnd();
		t.equal(listeners.length, 1);
		t.equal(events.join('').length, largeBytes + rest.length);
		t.end();
	});
}

test('a large answer that breaks off after its beginning was sent is ended incomplete and not run again', t => {
	const interruptions: Interruption[] = [];
	const {clock, listeners} = startForwarding(t, {
		kind: 'safe', answer: wholeAnswer, onAbort(interruption) {
			interruptions.push(interruption);
		},
	});
	listeners[0]?.onSent();
	listeners[0]?.onHead(200, {});
	listeners[0]?.onData(Buffer.alloc(largeBytes));
	clock.advance(5000);
	t.equal(listeners.length, 1, 'a pause within it moves it nowhere');
	listeners[0]?.onFailure(new ValvesaddleError('ERR_VALVESADDLE_ENDPOINT_FAILED', 'other side closed'));
	t.equal(listeners.length, 1);
	t.match(interruptions, [{endedBy: 'endpoint', cause: 'connection'}]);
	t.end();
});
