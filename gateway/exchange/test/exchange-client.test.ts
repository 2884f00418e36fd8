import {Buffer} from 'node:buffer';
import {test, type Test} from 'tap';
import {
	behaviours,
	formatAnswer,
	signature,
	startFakeEndpoint,
	type EndpointBehaviour,
} from '@valvesaddle/fake-endpoint';
import {createExchangeClient, type ExchangeClient} from '@valvesaddle/exchange';

async function startPair(t: Test, behaviour: EndpointBehaviour) {
	const endpoint = await startFakeEndpoint();
	endpoint.setBehaviour(behaviour);
	const client = createExchangeClient({connectMs: 5000, keepAliveMs: 60_000});
	t.teardown(async () => {
		await client.close();
		await endpoint.close();
	});
	return {endpoint, client};
}

type Outcome = {
	status: number;
	wasSent: boolean;
	body: string;
	end: string;
};

async function send(client: ExchangeClient, address: string, id = 'a', canSend?: () => boolean): Promise<Outcome> {
	const {promise, resolve} = Promise.withResolvers<Outcome>();
	const outcome = {
		status: 0, wasSent: false, body: '', end: '',
	};
	client.send({
		address, method: 'POST', path: '/x', headers: ['X-Attempt-Id', id], body: Buffer.from('body'), ...(canSend !== undefined && {canSend}),
	}, {
		onSent() {
			outcome.wasSent = true;
		},
		onHead(status) {
			outcome.status = status;
		},
		onData(chunk) {
			outcome.body += String(Buffer.from(chunk));
			return 'more';
		},
		onEnd() {
			resolve({...outcome, end: 'whole'});
		},
		onFailure(error) {
			resolve({...outcome, end: error.code});
		},
	});
	return promise;
}

const cases: ReadonlyArray<readonly [behaviour: keyof typeof behaviours, end: string]> = [
	['whole', 'whole'],
	['unframed', 'whole'],
	['unframedReset', 'ERR_VALVESADDLE_ENDPOINT_FAILED'],
	['truncated', 'ERR_VALVESADDLE_ENDPOINT_FAILED'],
	['reset', 'ERR_VALVESADDLE_ENDPOINT_FAILED'],
	['stream', 'whole'],
	['brokenStream', 'ERR_VALVESADDLE_ENDPOINT_FAILED'],
];

for (const [behaviour, end] of cases) {
	test(`endpoint behaviour "${behaviour}" is reported as ${end}`, async t => {
		const {endpoint, client} = await startPair(t, behaviours[behaviour]);
		const outcome = await send(client, endpoint.address);
		t.equal(outcome.end, end);
		t.ok(outcome.wasSent);
	});
}

test('an unreachable endpoint is reported as not having run the request', async t => {
	const {endpoint, client} = await startPair(t, behaviours.whole);
	await endpoint.close();
	t.match(await send(client, endpoint.address), {end: 'ERR_VALVESADDLE_ENDPOINT_NOT_RUN', wasSent: false});
});

test('a connection is reused after a complete response, but not after one that is followed by extra bytes', async t => {
	const {endpoint, client} = await startPair(t, behaviours.whole);
	await send(client, endpoint.address, 'a');
	await send(client, endpoint.address, 'b');
	t.same(endpoint.arrived().map(({connection}) => connection), [1, 1]);
	endpoint.setBehaviour(behaviours.twice);
	t.match(await send(client, endpoint.address, 'c'), {end: 'whole', body: 'first'});
	endpoint.setBehaviour(behaviours.whole);
	t.match(await send(client, endpoint.address, 'd'), {end: 'whole', body: /^body of/v});
	t.same(endpoint.arrived().map(({connection}) => connection), [1, 1, 1, 2]);
});

test('aborting closes the connection, so that the endpoint stops', async t => {
	const {endpoint, client} = await startPair(t, behaviours.silent);
	const sent = Promise.withResolvers<void>();
	const exchange = client.send({
		address: endpoint.address, method: 'GET', path: '/', headers: [], body: undefined,
	}, {
		onSent: sent.resolve,
		onHead() {
			t.fail('no callback after an abort');
		},
		onData: () => 'more',
		onEnd() {
			t.fail('no callback after an abort');
		},
		onFailure() {
			t.fail('no callback after an abort');
		},
	});
	await sent.promise;
	exchange.abort();
	while (endpoint.closedConnections() === 0) {
		// eslint-disable-next-line no-await-in-loop -- polls
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}

	t.equal(endpoint.closedConnections(), 1);
});

test('a request that is cancelled when its connection opens is not sent, and is reported as not run', async t => {
	const {endpoint, client} = await startPair(t, behaviours.whole);
	const cancelled = await send(client, endpoint.address, 'a', () => false);
	t.match(cancelled, {wasSent: false, status: 0, end: 'ERR_VALVESADDLE_ENDPOINT_NOT_RUN'});
	t.equal(endpoint.arrived().length, 0);
	t.match(await send(client, endpoint.address), {wasSent: true, status: 200, end: 'whole'});
});

test('an answer whose head does not end is a failure, and its connection is closed', async t => {
	let written = 0;
	const {endpoint, client} = await startPair(t, (_request, socket) => {
		const line = `x: ${'y'.repeat(1000)}\r\n`;
		function writeOn(): void {
			while (socket.writable && socket.write(line)) {
				written += line.length;
			}

			socket.once('drain', writeOn);
		}

		socket.write('HTTP/1.1 200 OK\r\n');
		writeOn();
	});
	t.match(await send(client, endpoint.address), {end: 'ERR_VALVESADDLE_ENDPOINT_FAILED', status: 0, wasSent: true});
	while (endpoint.closedConnections() === 0) {
		// eslint-disable-next-line no-await-in-loop -- polls
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}

	t.ok(written > 0);
});

test('bytes without end after an answer close its connection, and reach no other request', async t => {
	const {endpoint, client} = await startPair(t, (request, socket) => {
		socket.write(formatAnswer('200 OK', request, signature, 'whole'));
		function writeOn(): void {
			while (socket.writable && socket.write('z'.repeat(1000))) {
				// Goes on until the other side reads no more.
			}

			socket.once('drain', writeOn);
		}

		writeOn();
	});
	t.match(await send(client, endpoint.address), {end: 'whole', body: 'whole'});
	while (endpoint.closedConnections() === 0) {
		// eslint-disable-next-line no-await-in-loop -- polls
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}

	endpoint.setBehaviour(behaviours.whole);
	t.match(await send(client, endpoint.address, 'b'), {end: 'whole', body: /^body of/v});
});

test('the chunks of one read are handed on together', async t => {
	const chunks = 20_000;
	const {endpoint, client} = await startPair(t, (_request, socket) => {
		socket.write(`HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${'1\r\nx\r\n'.repeat(chunks)}0\r\n\r\n`);
	});
	const {promise, resolve} = Promise.withResolvers<string>();
	const lengths: number[] = [];
	client.send({
		address: endpoint.address, method: 'GET', path: '/x', headers: ['X-Attempt-Id', 'a'], body: undefined,
	}, {
		onSent() {
			// Any time will do.
		},
		onHead() {
			// Any head will do.
		},
		onData(bytes) {
			lengths.push(bytes.length);
			return 'more';
		},
		onEnd() {
			resolve('whole');
		},
		onFailure(error) {
			resolve(error.code);
		},
	});
	t.equal(await promise, 'whole');
	t.equal(lengths.reduce((sum, length) => sum + length, 0), chunks);
	t.ok(lengths.length < chunks / 100, `${lengths.length} parts`);
});
