/*
Guards against a server that drains and cuts answers which its callers have not read, or waits for callers that send nothing.
*/
import {Buffer} from 'node:buffer';
import {createServer, type RequestListener} from 'node:http';
import {connect, type Socket} from 'node:net';
import {text} from 'node:stream/consumers';
import {test, type Test} from 'tap';
import {waitUntil} from '@valvesaddle/fake-fleet';
import {createConnectionTracker, parseAddress, startServer} from '@valvesaddle/http-server';

const answerBytes = 32 * 1024 * 1024;
const headEnd = '\r\n\r\n';

async function start(t: Test, handle: RequestListener) {
	const server = createServer(handle);
	const tracker = createConnectionTracker(server);
	const address = await startServer(server, {host: '127.0.0.1', port: 0});
	t.teardown(() => {
		server.closeAllConnections();
		server.close();
	});
	const open = (): Socket => {
		const socket = connect(parseAddress(address));
		t.teardown(() => {
			socket.destroy();
		});
		return socket;
	};

	return {server, tracker, open};
}

const heads: ReadonlyArray<readonly [string, Readonly<Record<string, string>>]> = [
	['whole answer', {'content-length': String(answerBytes)}],
	['stream', {'content-type': 'text/event-stream'}],
	['whole answer marked with "Connection: close"', {'content-length': String(answerBytes), connection: 'close'}],
];
for (const [name, headers] of heads) {
	test(`a ${name} that is written but not sent reaches a caller that reads slowly while the server drains`, async t => {
		let isWritten = false;
		const {tracker, open} = await start(t, (_request, response) => {
			response.writeHead(200, headers);
			response.end(Buffer.alloc(answerBytes, 'x'));
			isWritten = true;
		});
		const socket = open();
		socket.write(`GET / HTTP/1.1\r\nhost: x${headEnd}`);
		await waitUntil(() => isWritten);
		t.equal(tracker.countOpen(), 1);
		const drained = tracker.drain();
		const received = await text(socket);
		t.equal(received.slice(received.indexOf(headEnd)).split('x').length - 1, answerBytes);
		await drained;
		t.equal(tracker.countOpen(), 0);
	});
}

test('a connection without a request, and one between two requests, do not delay a server that drains', async t => {
	const {server, tracker, open} = await start(t, (_request, response) => {
		response.end('ok');
	});
	const silent = open();
	const kept = open();
	let received = '';
	kept.on('data', data => {
		received += data.toString();
	});
	kept.write(`GET / HTTP/1.1\r\nhost: x${headEnd}`);
	silent.resume();
	await waitUntil(() => received.endsWith('ok') && tracker.countOpen() === 0);
	await tracker.drain();
	t.notOk(server.listening);
});

test('a caller whose body is still on its way receives its refusal while the server drains', async t => {
	let isRefused = false;
	const {tracker, open} = await start(t, (_request, response) => {
		response.statusCode = 413;
		response.end('too large');
		isRefused = true;
	});
	const socket = open();
	socket.write(`POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 20${headEnd}0123456789`);
	await waitUntil(() => isRefused && tracker.countOpen() === 0);
	const drained = tracker.drain();
	socket.write('0123456789');
	const received = await text(socket);
	t.match(received, /^HTTP\/1.1 413 .*too large/sv);
	await drained;
});

test('a request that arrives in parts is answered if it comes while the server drains', async t => {
	const {server, tracker, open} = await start(t, (_request, response) => {
		response.end('ok');
	});
	const socket = open();
	let connections = 0;
	socket.write('GET / HTTP/1.1\r\nhost');
	await waitUntil(() => {
		server.getConnections((_error, count) => {
			connections = count;
		});
		return connections === 1;
	});
	const drained = tracker.drain();
	socket.write(`: x${headEnd}`);
	t.match(await text(socket), /^HTTP\/1.1 200 .*ok$/sv);
	await drained;
});

test('a request that stays incomplete does not delay a server that drains for ever', async t => {
	const {tracker, open} = await start(t, (_request, response) => {
		response.end('ok');
	});
	const socket = open();
	socket.write(`POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 20${headEnd}`);
	let received = '';
	socket.on('data', data => {
		received += data.toString();
	});
	await waitUntil(() => received.endsWith('ok'));
	await tracker.drain();
	t.equal(tracker.countOpen(), 0);
});
