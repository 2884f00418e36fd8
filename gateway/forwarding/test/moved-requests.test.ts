// Guards against a request that is moved away from an endpoint and then ends although another one could answer it.
import {Buffer} from 'node:buffer';
import {test} from 'tap';
import {ValvesaddleError} from '@valvesaddle/error';
import {eventStream, startForwarding} from './start-forwarding.ts';

const firstEvent = Buffer.from('id: 0\ndata: first\n\n');

test('a moved stream whose next endpoint is unreachable goes on at another one with the retry that it has spent', t => {
	const {clock, listeners} = startForwarding(t, {
		kind: 'stream', answer: eventStream, endpoints: ['i-1', 'i-2', 'i-3'], retries: 1,
	});
	listeners[0]?.onSent();
	listeners[0]?.onHead(200, {});
	listeners[0]?.onData(firstEvent);
	clock.advance(800);
	t.equal(listeners.length, 2);
	listeners[1]?.onFailure(new ValvesaddleError('ERR_VALVESADDLE_ENDPOINT_NOT_RUN', 'connection refused'));
	t.equal(listeners.length, 3);
	t.end();
});
