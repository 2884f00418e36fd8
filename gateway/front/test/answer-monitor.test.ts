// An answer that a caller does not get in full is reported with who ended it.
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {test, type Test} from 'tap';
import {createMetrics} from '@valvesaddle/metrics';
import {platformWire} from '@valvesaddle/wire';
import type {LogEvent} from '@valvesaddle/logger';
import {createAnswerMonitor} from '../src/create-answer-monitor.ts';

type Answer = (response: ServerResponse, monitor: ReturnType<typeof createAnswerMonitor>, socket: Socket) => void;

/**
Larger than the buffers of both sockets, in bytes.
*/
const largeBytes = 32 * 1024 * 1024;

async function readEvents(t: Test, answer: Answer): Promise<readonly LogEvent[]> {
	const events: LogEvent[] = [];
	const logger = {
		info(event: LogEvent) {
			events.push(event);
		},
		warn() {
			t.fail('no warning is expected');
		},
		error() {
			t.fail('no error is expected');
		},
		async flush() {
			// Nothing is buffered.
		},
	};
	const metrics = createMetrics({node: 'n1'});
	const monitor = createAnswerMonitor({logger, metrics, wire: platformWire});
	const {promise: closed, resolve} = Promise.withResolvers<void>();
	const server = createServer((request, response) => {
		monitor.add(request, response);
		response.once('close', () => {
			resolve();
		});
		answer(response, monitor, socket);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
	socket.on('error', () => {
		// The connection is reset on purpose.
	});
	socket.pause();
	socket.write('GET / HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\n\r\n');
	await closed;
	socket.destroy();
	server.close();
	server.closeAllConnections();
	await metrics.close();
	return events;
}

test('an answer that is sent whole is not reported', async t => {
	const events = await readEvents(t, response => {
		response.end('whole');
	});
	t.same(events, []);
});

test('an answer whose caller disconnects is reported as ended by the caller', async t => {
	const events = await readEvents(t, (response, _monitor, socket) => {
		response.write('part');
		socket.destroy();
	});
	t.match(events, [{
		name: 'answer-incomplete', request: 'a1', endedBy: 'caller', cause: 'disconnected',
	}]);
});

test('an answer that the node ends is reported with its cause and the bytes that were not sent', async t => {
	const events = await readEvents(t, (response, monitor) => {
		response.write(Buffer.alloc(largeBytes));
		monitor.markInterrupted(response, {endedBy: 'node', cause: 'stalled', reason: 'silent to all nodes'});
		response.destroy();
	});
	t.match(events, [{
		name: 'answer-incomplete', endedBy: 'node', cause: 'stalled', reason: 'silent to all nodes',
	}]);
	const [event] = events;
	t.ok(event?.name === 'answer-incomplete' && event.bytesUnsent > 0);
});

test('a connection that is closed with an answer unsent is reported as closed by the node', async t => {
	const events = await readEvents(t, response => {
		response.end(Buffer.alloc(largeBytes));
		response.socket?.destroy();
	});
	t.match(events, [{endedBy: 'node', cause: 'closed'}]);
});
