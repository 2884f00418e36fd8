/*
Chunks are written to the socket directly, bypassing the HTTP server. Callers must still receive the same bytes, apply backpressure,
and get pipelined answers in order.
*/
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	createServer,
	request,
	type IncomingMessage,
	type ServerResponse,
} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import fc from 'fast-check';
import {test, type Test} from 'tap';
import {createReply} from '../src/create-reply.ts';

type Serve = (request: IncomingMessage, response: ServerResponse) => void;

async function startServer(t: Test, serve: Serve): Promise<number> {
	const server = createServer(serve);
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		server.closeAllConnections();
		server.close();
	});
	return (server.address() as AddressInfo).port;
}

async function readBody(port: number): Promise<Uint8Array> {
	const sentRequest = request({port, host: '127.0.0.1'});
	sentRequest.end();
	const [answer] = await once(sentRequest, 'response') as [IncomingMessage];
	const chunks: Uint8Array[] = [];
	for await (const chunk of answer) {
		chunks.push(chunk as Uint8Array);
	}

	return Buffer.concat(chunks);
}

test('a caller receives what was written, however it was split into chunks', async t => {
	let chunks: readonly Uint8Array[] = [];
	let delays: readonly boolean[] = [];
	const port = await startServer(t, (_request, response) => {
		const reply = createReply(response, () => false);
		reply.start(200, ['content-type', 'text/event-stream']);
		function writeFrom(index: number): void {
			if (index === chunks.length) {
				reply.end();
				return;
			}

			reply.write(chunks[index]!);
			const isDelayed = delays.at(index % delays.length);
			if (isDelayed) {
				setImmediate(() => {
					writeFrom(index + 1);
				});
			} else {
				writeFrom(index + 1);
			}
		}

		writeFrom(0);
	});
	await fc.assert(fc.asyncProperty(fc.array(fc.uint8Array({minLength: 1, maxLength: 300}), {maxLength: 12}), fc.array(fc.boolean(), {minLength: 1, maxLength: 5}), async (drawn, drawnDelays) => {
		chunks = drawn;
		delays = drawnDelays;
		const body = await readBody(port);
		return Buffer.concat(drawn).equals(body);
	}), {numRuns: 60});
});

test('a caller that does not read causes backpressure until it reads', async t => {
	const chunk = Buffer.alloc(64 * 1024, 'x');
	let written = 0;
	const {promise: full, resolve: markFull} = Promise.withResolvers<void>();
	const {promise: drained, resolve: markDrained} = Promise.withResolvers<void>();
	const port = await startServer(t, (_request, response) => {
		const reply = createReply(response, () => false);
		reply.start(200, []);
		written++;
		while (reply.write(chunk)) {
			written++;
		}

		reply.onDrain(() => {
			reply.end();
			markDrained();
		});
		markFull();
	});
	const body = readBody(port);
	await full;
	await drained;
	t.equal((await body).length, written * chunk.length);
});

test('answers to pipelined requests keep their order', async t => {
	const replies: Array<ReturnType<typeof createReply>> = [];
	const {promise: both, resolve} = Promise.withResolvers<void>();
	const port = await startServer(t, (_request, response) => {
		replies.push(createReply(response, () => false));
		if (replies.length === 2) {
			resolve();
		}
	});
	const socket = connect(port, '127.0.0.1');
	socket.write('GET /a HTTP/1.1\r\nhost: h\r\n\r\nGET /b HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n');
	await both;
	const [first, second] = replies;
	second!.start(200, []);
	second!.write(Buffer.from('second'));
	first!.start(200, []);
	first!.write(Buffer.from('first'));
	first!.end();
	second!.write(Buffer.from(' and more'));
	second!.end();
	let text = '';
	for await (const chunk of socket) {
		text += String(chunk);
	}

	t.match(text, /5\r\nfirst\r\n0\r\n\r\nHTTP\/1\.1 200[\s\S]*6\r\nsecond\r\n9\r\n and more\r\n0\r\n\r\n$/v);
});

test('an answer to an HTTP/1.0 caller is not chunked', async t => {
	const port = await startServer(t, (_request, response) => {
		const reply = createReply(response, () => false);
		reply.start(200, []);
		reply.write(Buffer.from('plain'));
		reply.end();
	});
	const socket = connect(port, '127.0.0.1');
	socket.write('GET /a HTTP/1.0\r\n\r\n');
	let text = '';
	for await (const chunk of socket) {
		text += String(chunk);
	}

	t.ok(text.endsWith('\r\n\r\nplain'));
});
