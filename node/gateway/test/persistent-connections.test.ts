// Guards against a 408 or 400 of Node's HTTP server for a later, incomplete or invalid request on a connection: the caller would
// take it for the answer to the request that still runs.
import {connect, type Socket} from 'node:net';
import {test, type Test} from 'tap';
import {waitUntil} from '@valvesaddle/fake-fleet';
import {startPlatform} from './start-platform.ts';

const head = 'Host: permits.example\r\nAuthorization: Bearer key\r\n';
const unsafeRequest = `POST /unsafe/x HTTP/1.1\r\n${head}X-Attempt-Id: a1\r\nContent-Length: 3\r\n\r\nabc`;
/**
Time after which the node must have timed out an incomplete head, in milliseconds.
*/
const longEnoughMs = 2000;

const incompleteHead = 'GET /safe/y HTTP/1.1\r\nHost: per';
const followingBytes: ReadonlyArray<readonly [name: string, rest: string]> = [
	['an incomplete head that times out', incompleteHead],
	['bytes that are not a request', '\u{0}\u{1} no request\r\n\r\n'],
];

type Platform = Awaited<ReturnType<typeof startPlatform>>;

/**
Starts a platform with a short timeout for heads, whose endpoints answer only through `answerOpen`.
*/
async function startSilentPlatform(t: Test): Promise<Platform> {
	const platform = await startPlatform(t, ['silent']);
	await platform.open();
	const [first] = platform.configuration.routes;
	platform.store.publish({
		...platform.configuration,
		version: 2,
		routes: [...platform.configuration.routes, {...first, prefix: '/second/', service: 'nobody'}],
		limits: {'header-timeout-ms': 100},
	});
	await waitUntil(async () => (await platform.call('/second/x')).text.includes('ERR_VALVESADDLE_NO_ENDPOINT'));
	return platform;
}

/**
Waits until the condition holds or `longEnoughMs` has passed.
*/
async function waitLongEnough(isDone: () => boolean | Promise<boolean>): Promise<void> {
	const until = performance.now() + longEnoughMs;
	await waitUntil(async () => await isDone() || performance.now() > until);
}

function openConnection({addresses}: Platform) {
	const [host = '', port = ''] = addresses.callers.split(':', 2);
	const socket: Socket = connect({host, port: Number(port), allowHalfOpen: true});
	const closed = Promise.withResolvers<void>();
	let text = '';
	socket.setEncoding('latin1');
	socket.on('data', (chunk: string) => {
		text += chunk;
	});
	socket.on('end', () => {
		socket.end();
	});
	socket.on('error', error => {
		text += `(${error.message})`;
	});
	socket.on('close', () => {
		closed.resolve();
	});
	return {socket, closed: closed.promise, read: () => text};
}

async function readErrors({addresses}: Platform): Promise<string> {
	const page = await fetch(`http://${addresses.ready}/metrics`);
	return (await page.text()).split('\n').filter(line => line.startsWith('valvesaddle_gateway_connection_errors')).join('\n');
}

for (const [name, rest] of followingBytes) {
	test(`a running request gets its own answer, whatever follows on its connection: ${name}`, async t => {
		const platform = await startSilentPlatform(t);
		const {socket, closed, read} = openConnection(platform);
		socket.write(unsafeRequest);
		await waitUntil(() => platform.arrived.length === 1);
		socket.write(rest);
		await waitLongEnough(() => read() !== '' || socket.closed);
		t.equal(read(), '', 'neither 400 nor 408 is sent while the request runs');
		platform.endpoints[0]?.answerOpen('whole');
		platform.endpoints[1]?.answerOpen('whole');
		await closed;
		t.match(read(), /^HTTP\/1\.1 200 /v);
		t.notMatch(read(), /HTTP\/1\.1 4/v);
		t.match(await readErrors(platform), name.startsWith('an incomplete head') ? /ERR_HTTP_REQUEST_TIMEOUT/v : /HPE_/v);
	});
}

test('a request whose head is complete only after the timeout does not run', async t => {
	const platform = await startSilentPlatform(t);
	const {socket, closed, read} = openConnection(platform);
	socket.write(unsafeRequest);
	await waitUntil(() => platform.arrived.length === 1);
	socket.write(incompleteHead);
	await waitLongEnough(async () => (await readErrors(platform)).includes('ERR_HTTP_REQUEST_TIMEOUT'));
	socket.write('mits.example\r\nAuthorization: Bearer key\r\nX-Attempt-Id: a2\r\n\r\n');
	await waitLongEnough(async () => {
		const page = await fetch(`http://${platform.addresses.ready}/metrics`);
		return (await page.text()).includes('ERR_VALVESADDLE_CONNECTION_ENDING');
	});
	platform.endpoints[0]?.answerOpen('whole');
	platform.endpoints[1]?.answerOpen('whole');
	await closed;
	t.match(read(), /^HTTP\/1\.1 200 /v);
	t.equal(platform.arrived.length, 1);
});

for (const [name, rest] of followingBytes) {
	test(`the request of a caller that disconnects after ${name} is cancelled`, async t => {
		const platform = await startSilentPlatform(t);
		const {socket, closed} = openConnection(platform);
		socket.write(unsafeRequest);
		await waitUntil(() => platform.arrived.length === 1);
		socket.write(rest);
		await waitLongEnough(async () => (await readErrors(platform)) !== '');
		t.notOk(socket.closed, 'the request runs until the caller disconnects');
		socket.end();
		await closed;
		await waitLongEnough(() => platform.endpoints.some(endpoint => endpoint.closedConnections() > 0));
		t.ok(platform.endpoints.some(endpoint => endpoint.closedConnections() > 0));
		t.equal(platform.arrived.length, 1);
	});
}

const withoutOpenAnswer: ReadonlyArray<readonly [status: number, code: string, what: string, bytes: string]> = [
	[408, 'ERR_HTTP_REQUEST_TIMEOUT', 'an incomplete head', incompleteHead],
	[431, 'HPE_HEADER_OVERFLOW', 'a head over the limit of the parser', `GET /safe/x HTTP/1.1\r\n${head}X-Long: ${'x'.repeat(200_000)}\r\n\r\n`],
	[400, 'HPE_INVALID_METHOD', 'bytes that are not a request', '\u{1} no request\r\n\r\n'],
	[400, 'HPE_INVALID_CHUNK_SIZE', 'an invalid body', `POST /unsafe/x HTTP/1.1\r\n${head}Transfer-Encoding: chunked\r\n\r\nno size\r\n`],
];

for (const [status, code, what, bytes] of withoutOpenAnswer) {
	test(`${what} is answered ${status} and counted where no answer is open`, async t => {
		const platform = await startSilentPlatform(t);
		const {socket, closed, read} = openConnection(platform);
		socket.write(bytes);
		await closed;
		t.match(read(), new RegExp(String.raw`^HTTP/1\.1 ${status} [^\r]*\r\n(?:[^\r]+\r\n)*Connection: close\r\n`, 'v'));
		t.match(await readErrors(platform), new RegExp(`code="${code}"`, 'v'));
		t.equal(platform.arrived.length, 0);
	});
}

test('a chunked answer that has begun is completed, whatever follows on its connection', async t => {
	const platform = await startSilentPlatform(t);
	const {socket, closed, read} = openConnection(platform);
	for (const endpoint of platform.endpoints) {
		endpoint.setBehaviour((request, endpointSocket) => {
			platform.arrived.push(request);
			const signedHead = `X-Attempt-Id: ${request.requestId}\r\nX-Response-Seal: seal\r\nContent-Type: text/event-stream\r\n`;
			endpointSocket.write(`HTTP/1.1 200 OK\r\n${signedHead}Transfer-Encoding: chunked\r\n\r\n7\r\nfirst\n\n\r\n`);
			setTimeout(() => {
				endpointSocket.write('6\r\nlast\n\n\r\n0\r\n\r\n');
			}, longEnoughMs / 4);
		});
	}

	socket.write(`GET /stream/x HTTP/1.1\r\n${head}X-Attempt-Id: a1\r\n\r\n`);
	await waitUntil(() => read().includes('first'));
	socket.write('\u{1} no request\r\n\r\n');
	await closed;
	t.match(read(), /^HTTP\/1\.1 200 [\s\S]*first[\s\S]*last\n\n\r\n0\r\n\r\n$/v);
});
