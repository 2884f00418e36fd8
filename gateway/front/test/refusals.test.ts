// Guards against a refusal that its caller never reads: the connection was reset while the caller still wrote the body.
import {Buffer} from 'node:buffer';
import {test, type Test} from 'tap';
import {waitUntil} from '@valvesaddle/fake-fleet';
import {formatRequest} from './format-request.ts';
import {startFront} from './start-front.ts';

/**
Size of a body that the buffers of the system cannot hold, in bytes.
*/
const bodyBytes = 8 * 1024 * 1024;
const announced = `Content-Length: ${bodyBytes}`;
const body = Buffer.alloc(bodyBytes, 'x');
const chunked = 'Transfer-Encoding: chunked';

type Front = Awaited<ReturnType<typeof startFront>>;

type Case = {
	readonly name: string;
	readonly status: number;
	readonly head: string;
	readonly bytes?: Uint8Array;
	/**
	Bytes that the front reads before the refusal.
	*/
	readonly prepare?: (front: Front) => void;
};

const cases: readonly Case[] = [
	{name: 'an unknown route', status: 404, head: formatRequest('POST', [announced]).replace('/any/', '/other/')},
	{name: 'a body that is announced as too large', status: 413, head: formatRequest('POST', [announced])},
	{
		name: 'a body that becomes too large',
		status: 413,
		head: formatRequest('POST', [chunked]),
		bytes: Buffer.concat([Buffer.from(`${bodyBytes.toString(16)}\r\n`), body, Buffer.from('\r\n0\r\n\r\n')]),
	},
	{
		name: 'a leaving node',
		status: 404,
		head: formatRequest('POST', [announced]).replace('/any/', '/other/'),
		prepare({leave}) {
			leave();
		},
	},
	{name: 'a body that is not valid', status: 400, head: formatRequest('POST', [chunked])},
	{name: 'a head over the limit of the parser', status: 431, head: 'GET /any/x HTTP/1.1\r\nHost: permits.example\r\nX-Long: '},
];

/**
Writes everything before it reads. Whatever is wrong with the connection then shows in `error`.
*/
async function sendBeforeReading(t: Test, front: Front, bytes: readonly Uint8Array[]) {
	const call = front.open();
	call.socket.pause();
	let isWritten = false;
	call.socket.write(Buffer.concat(bytes), () => {
		isWritten = true;
	});
	await waitUntil(() => isWritten || call.socket.destroyed);
	t.ok(isWritten, 'the caller can write everything');
	call.socket.resume();
	await waitUntil(() => call.hasEnded() || call.socket.destroyed);
	return call;
}

for (const {name, status, head, bytes = body, prepare} of cases) {
	test(`a caller that writes everything before it reads gets ${status} for ${name}`, async t => {
		const front = await startFront(t);
		prepare?.(front);
		const {read, error} = await sendBeforeReading(t, front, [Buffer.from(head), bytes]);
		t.match(read(), new RegExp(String.raw`^HTTP/1\.1 ${status} [\s\S]*connection: close\r\n`, 'iv'));
		t.equal(read().split('HTTP/1.1 ').length, 2, 'one answer');
		t.equal(error(), '');
		t.equal(front.forwarded.length, 0);
	});
}

test('a caller that writes everything before it reads gets 503 from a draining node', async t => {
	const front = await startFront(t);
	const call = front.open();
	call.socket.write(formatRequest());
	await waitUntil(() => front.forwarded.length === 1);
	const drained = front.front.drain();
	front.forwarded[0]!.reply.answer(200, [], Buffer.from('answer'));
	await waitUntil(() => call.read().endsWith('answer'));
	call.socket.pause();
	let isWritten = false;
	call.socket.write(Buffer.concat([Buffer.from(formatRequest('POST', [announced])), body]), () => {
		isWritten = true;
	});
	await waitUntil(() => isWritten || call.socket.destroyed);
	call.socket.resume();
	await waitUntil(() => call.hasEnded() || call.socket.destroyed);
	t.match(call.read(), /answerHTTP\/1\.1 503 [\s\S]*ERR_VALVESADDLE_DRAINING/v);
	t.equal(call.error(), '');
	await drained;
});

test('what follows a body that is not read is not taken for a request', async t => {
	const front = await startFront(t);
	const {read} = await sendBeforeReading(t, front, [
		Buffer.from(formatRequest('POST', [announced])), body, Buffer.from(formatRequest()),
	]);
	t.match(read(), /^HTTP\/1\.1 413 /v);
	t.equal(read().split('HTTP/1.1 ').length, 2, 'one answer');
	t.equal(front.forwarded.length, 0);
});

test('a refused caller that goes on writing is cut off', async t => {
	const front = await startFront(t);
	const call = front.open();
	call.socket.write(formatRequest('POST', [chunked]));
	const chunk = Buffer.concat([Buffer.from(`${body.length.toString(16)}\r\n`), body, Buffer.from('\r\n')]);
	const write = (): void => {
		call.socket.write(chunk, error => {
			if (!error) {
				write();
			}
		});
	};

	call.socket.removeAllListeners('end');
	write();
	await waitUntil(() => call.socket.destroyed);
	t.match(call.read(), /^HTTP\/1\.1 413 /v);
});

test('a refused caller that neither writes nor closes is cut off', async t => {
	const front = await startFront(t);
	const call = front.open();
	call.socket.removeAllListeners('end');
	call.socket.write(formatRequest('POST', [announced]));
	await waitUntil(() => call.read().includes('413'));
	await front.front.drain();
	t.match(call.read(), /^HTTP\/1\.1 413 /v);
});
