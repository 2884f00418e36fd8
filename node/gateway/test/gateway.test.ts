import {request as sendRaw, type IncomingMessage} from 'node:http';
import {once} from 'node:events';
import {connect} from 'node:net';
import {test} from 'tap';
import {waitUntil} from '@valvesaddle/fake-fleet';
import {startPlatform} from './start-platform.ts';

test('a node without configuration is not ready and answers 503 with Retry-After', async t => {
	const platform = await startPlatform(t);
	t.notOk(await platform.isReady());
	const answer = await platform.call('/safe/x');
	t.equal(answer.status, 503);
	t.equal(answer.headers['retry-after'], '0.3');
	await platform.open();
	t.equal((await platform.call('/safe/x')).status, 200);
});

test('a request that the configuration does not allow is refused without reaching an endpoint', async t => {
	const platform = await startPlatform(t);
	await platform.open();
	t.equal((await platform.call('/unknown/x')).status, 404);
	t.equal((await platform.call('/safe/x', {key: 'wrong'})).status, 401);
	t.equal((await platform.call('/safe/x', {headers: {host: 'other.example'}})).status, 404);
	t.equal((await platform.call('/safe/x', {headers: {'x-long': 'x'.repeat(3000)}})).status, 431);
	t.equal((await platform.call('/safe/x', {body: 'x'.repeat(1001)})).status, 413);
	t.equal((await platform.call('/empty/x')).status, 503);
	t.equal(platform.arrived.length, 0);
});

test('a request reaches the endpoint unchanged, with the account and the remaining time', async t => {
	const platform = await startPlatform(t);
	await platform.open();
	await platform.call('/unsafe/x?y=%2F', {body: 'some body', headers: {'x-deadline-ms': '4000', 'x-tenant': 'forged'}});
	const [arrived] = platform.arrived;
	t.equal(arrived?.line, 'POST /unsafe/x?y=%2F HTTP/1.1');
	t.equal(arrived?.body, 'some body');
	t.equal(arrived?.headers.get('x-tenant'), 'sawmill');
	t.match(arrived?.headers.get('x-target-replica'), /^i-[01]$/v);
	t.notOk(arrived?.headers.has('authorization'));
	const left = Number(arrived?.headers.get('x-deadline-ms'));
	t.ok(left > 0 && left <= 4000);
});

test('a request that exceeds its timeout is answered 504 and reports that it may have run', async t => {
	const platform = await startPlatform(t, ['silent']);
	await platform.open();
	const answer = await platform.call('/short/x');
	t.equal(answer.status, 504);
	t.match(answer.text, '"ran":"maybe"');
	t.equal(platform.arrived.length, 1);
});

test('the connection to the endpoint is closed when the caller disconnects', async t => {
	const platform = await startPlatform(t, ['silent']);
	await platform.open();
	const caller = new AbortController();
	const call = platform.call('/unsafe/x', {signal: caller.signal}).catch(() => 'aborted');
	await waitUntil(() => platform.arrived.length === 1);
	caller.abort();
	t.equal(await call, 'aborted');
	await waitUntil(() => platform.endpoints.some(endpoint => endpoint.closedConnections() > 0));
	t.equal(platform.arrived.length, 1);
});

test('a draining or removed endpoint gets no new requests', async t => {
	const platform = await startPlatform(t);
	await platform.open();
	platform.store.remove('servers/i-0');
	platform.store.registerEndpoint('i-1', {
		pool: 'register', address: platform.endpoints[1]?.address ?? '', slots: 4, state: 'draining',
	});
	await waitUntil(async () => (await platform.call('/safe/x')).status === 503);
	const before = platform.arrived.length;
	t.equal((await platform.call('/safe/x')).status, 503);
	t.equal(platform.arrived.length, before);
});

test('a new configuration replaces the old one without a gap, and an older one is ignored', async t => {
	const platform = await startPlatform(t);
	await platform.open();
	const [first] = platform.configuration.routes;
	platform.store.publish({...platform.configuration, version: 5, routes: [{...first, prefix: '/new/'}]});
	await waitUntil(async () => (await platform.call('/new/x')).status === 200);
	platform.store.publish({...platform.configuration, version: 4});
	platform.store.registerEndpoint('i-9', {
		pool: 'nobody', address: '127.0.0.1:1', slots: 1, state: 'ready',
	});
	t.equal((await platform.call('/safe/x')).status, 404);
	t.equal((await platform.call('/new/x')).status, 200);
});

test('a safe request is not retried after its caller disconnects', async t => {
	const platform = await startPlatform(t, ['silent', 'whole']);
	await platform.open();
	const caller = new AbortController();
	const call = platform.call('/safe/x', {signal: caller.signal}).catch(() => 'aborted');
	await waitUntil(() => platform.arrived.length === 1);
	caller.abort();
	t.equal(await call, 'aborted');
	await waitUntil(() => platform.endpoints.some(endpoint => endpoint.closedConnections() > 0));
	t.equal((await platform.call('/safe/y')).status, 200);
	t.same(platform.arrived.map(({line}) => line), ['GET /safe/x HTTP/1.1', 'GET /safe/y HTTP/1.1']);
});

test('an endpoint that was seen draining gets no new requests while the store is unavailable', async t => {
	const platform = await startPlatform(t);
	await platform.open();
	platform.store.registerEndpoint('i-1', {
		pool: 'register', address: platform.endpoints[1]?.address ?? '', slots: 4, state: 'draining',
	});
	// Changes arrive in order: once the second one is in use, the first has been applied.
	const [first] = platform.configuration.routes;
	platform.store.publish({...platform.configuration, version: 5, routes: [{...first, prefix: '/new/'}, ...platform.configuration.routes]});
	await waitUntil(async () => (await platform.call('/new/x')).status === 200);
	platform.store.setFault('silent');
	const before = platform.endpoints[1]?.arrived().length;
	for (let request = 0; request < 20; request++) {
		// eslint-disable-next-line no-await-in-loop -- one request after the other
		t.equal((await platform.call('/safe/x')).status, 200);
	}

	t.equal(platform.endpoints[1]?.arrived().length, before);
});

for (const fault of [undefined, 'silent', 'refuse'] as const) {
	test(`a draining node is not ready, finishes open requests and asks callers to close their connections; store: ${fault ?? 'available'}`, async t => {
		const platform = await startPlatform(t, ['silent', 'whole']);
		await platform.open();
		platform.store.setFault(fault);
		const [host, port] = platform.addresses.callers.split(':', 2);
		const raw = sendRaw({
			host, port, path: '/unsafe/x', headers: {host: 'permits.example', authorization: 'Bearer key', 'x-attempt-id': 'a1'},
		});
		raw.end();
		await waitUntil(() => platform.arrived.length === 1);
		const drained = platform.gateway.drain();
		await waitUntil(async () => !await platform.isReady().catch(() => false));
		const responded = once(raw, 'response') as Promise<[IncomingMessage]>;
		platform.endpoints[0]?.answerOpen('whole');
		platform.endpoints[1]?.answerOpen('whole');
		const [response] = await responded;
		response.resume();
		t.equal(response.statusCode, 200);
		t.equal(response.headers.connection, 'close');
		await drained;
	});
}

test('a draining node refuses a request on a persistent connection', async t => {
	const platform = await startPlatform(t, ['silent', 'whole']);
	await platform.open();
	const [host = '', port = ''] = platform.addresses.callers.split(':', 2);
	const socket = connect({host, port: Number(port)});
	let text = '';
	socket.setEncoding('latin1');
	socket.on('data', (chunk: string) => {
		text += chunk;
	});
	const head = 'Host: permits.example\r\nAuthorization: Bearer key\r\n';
	socket.write(`GET /unsafe/x HTTP/1.1\r\n${head}X-Attempt-Id: a1\r\n\r\n`);
	await waitUntil(() => platform.arrived.length === 1);
	const drained = platform.gateway.drain();
	// A draining node accepts no new connections.
	await waitUntil(async () => await platform.call('/safe/x').catch(() => undefined) === undefined);
	const before = platform.arrived.length;
	socket.write(`GET /unsafe/y HTTP/1.1\r\n${head}X-Attempt-Id: a2\r\n\r\n`);
	const closed = once(socket, 'close');
	await waitUntil(async () => {
		const page = await fetch(`http://${platform.addresses.ready}/metrics`);
		return platform.arrived.length > before || (await page.text()).includes('ERR_VALVESADDLE_DRAINING');
	});
	platform.endpoints[0]?.answerOpen('whole');
	platform.endpoints[1]?.answerOpen('whole');
	await closed;
	await drained;
	t.equal(platform.arrived.length, before);
	t.match(text, /^HTTP\/1\.1 200 /v);
});

test('a request whose endpoint is still working at the end of the grace time is answered, not cut off', async t => {
	const platform = await startPlatform(t, ['silent'], '[drain]\ngrace_s = 1\nbalancer_ms = 1');
	await platform.open();
	const call = platform.call('/unsafe/x').catch(() => undefined);
	await waitUntil(() => platform.arrived.length === 1);
	await platform.gateway.drain();
	const answer = await call;
	t.equal(answer?.status, 502);
	t.match(answer?.text, '"ran":"maybe"');
});
