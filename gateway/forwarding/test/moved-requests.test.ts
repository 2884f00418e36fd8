// Guards against a request that is moved away from an endpoint and then ends although another one could answer it.
import {Buffer} from 'node:buffer';
import {test} from 'tap';
import {ValvesaddleError} from '@valvesaddle/error';
import type {SelectionCriteria, Selector} from '@valvesaddle/selection';
import {eventStream, startForwarding} from './start-forwarding.ts';

const firstEvent = Buffer.from('id: 0\ndata: first\n\n');

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
