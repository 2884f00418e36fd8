import {test} from 'tap';
import {ValvesaddleError} from '@valvesaddle/error';
import {eventStream, startForwarding} from './start-forwarding.ts';

test('a request that may have run is not refused as not run when no endpoint is left', t => {
	const refused: ValvesaddleError[] = [];
	const {listeners} = startForwarding(t, {
		kind: 'stream', answer: eventStream, endpoints: ['i-1'], onRefuse(error) {
			refused.push(error);
		},
	});
	listeners[0]?.onSent();
	listeners[0]?.onFailure(new ValvesaddleError('ERR_VALVESADDLE_ENDPOINT_FAILED', 'reset'));
	t.match(refused, [{code: 'ERR_VALVESADDLE_ENDPOINT_FAILED'}]);
	t.end();
});
