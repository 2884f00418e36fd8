// Guards against streams that were cut within an event and look complete to their callers.
import {test} from 'tap';
import {formatHead, signature, type EndpointBehaviour} from '@valvesaddle/fake-endpoint';
import {startPlatform} from './start-platform.ts';

const whole = 'id: 0\ndata: a\n\nid: 1\ndata: b\n\n';
const eventStream = {...signature, 'content-type': 'text/event-stream'};

/**
A stream whose end is that of its connection.
*/
function createUnframedBehaviour(text: string): EndpointBehaviour {
	return (request, socket) => {
		socket.end(formatHead('200 OK', request, {...eventStream, connection: 'close'}) + text);
	};
}

function createFramedBehaviour(text: string): EndpointBehaviour {
	return (request, socket) => {
		socket.write(formatHead('200 OK', request, {...eventStream, 'content-length': String(text.length)}) + text);
	};
}

for (const [name, behaviour, expected] of [
	['within an event', createUnframedBehaviour(`${whole}id: 2\ndata: c`), `${whole}id: 2\ndata: c(broken)`],
	['between the line ends of an event', createUnframedBehaviour(`${whole}id: 2\ndata: c\n`), `${whole}id: 2\ndata: c\n(broken)`],
	['between events', createUnframedBehaviour(whole), whole],
	['between events with CR LF', createUnframedBehaviour('data: a\r\n\r\n'), 'data: a\r\n\r\n'],
	['before the first event', createUnframedBehaviour(''), ''],
	['at the length that its head states', createFramedBehaviour(`${whole}data: [DONE]\n`), `${whole}data: [DONE]\n`],
] as const) {
	test(`a stream that cannot be resumed and ends ${name} is passed on as ${expected.endsWith('(broken)') ? 'broken off' : 'whole'}`, async t => {
		const platform = await startPlatform(t);
		await platform.open();
		for (const endpoint of platform.endpoints) {
			endpoint.setBehaviour(behaviour);
		}

		const {status, text} = await platform.call('/stream/x');
		t.equal(status, 200);
		t.equal(text, expected);
	});
}
