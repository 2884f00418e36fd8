/*
Guards against bytes that are no request cutting the answer of the request before them on the same connection.
*/
import {connect} from 'node:net';
import {text} from 'node:stream/consumers';
import {test, type Test} from 'tap';
import {
	createChat,
	fleetKeys,
	startFleet,
	waitUntil,
} from '@valvesaddle/fake-fleet';
import {parseAddress} from '@valvesaddle/http-server';

async function startNode(t: Test) {
	const fleet = await startFleet({nodes: 1, engines: [{stepMs: 3}]});
	t.teardown(fleet.close);
	return {fleet, callers: parseAddress(fleet.nodes[0]!.callers)};
}

function formatChat(isStreamed: boolean, tokens = 60): string {
	const body = JSON.stringify(createChat(tokens, isStreamed));
	return `POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${fleetKeys.caller}\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
}

for (const [name, isStreamed, last] of [['whole', false, '"finish_reason":"stop"'], ['streamed', true, '[DONE]']] as const) {
	test(`a ${name} answer is completed although bytes that are no request follow its request`, async t => {
		const {fleet, callers} = await startNode(t);
		const socket = connect(callers);
		socket.write(formatChat(isStreamed));
		await waitUntil(() => fleet.engines[0]!.counts().tokens >= 5);
		socket.write('\u{1}no request\r\n\r\n');
		const received = await text(socket);
		t.match(received, /^HTTP\/1.1 200 /v);
		t.ok(received.includes(last), received.slice(-200));
		t.equal(received.split('HTTP/1.1').length, 2, 'no second answer');
	});
}

test('a caller that leaves after bytes that are no request is noticed', async t => {
	const {fleet, callers} = await startNode(t);
	const socket = connect(callers);
	socket.write(formatChat(true, 100_000));
	await waitUntil(() => fleet.engines[0]!.counts().tokens >= 5);
	socket.end('\u{1}no request\r\n\r\n');
	socket.resume();
	await waitUntil(() => fleet.engines[0]!.load() === 0);
	t.ok(fleet.engines[0]!.counts().cancelledTokens > 0);
});

test('a connection on which no answer is open is told that its request cannot be read', async t => {
	const {callers} = await startNode(t);
	const socket = connect(callers);
	socket.write('\u{1}no request\r\n\r\n');
	t.match(await text(socket), /^HTTP\/1.1 400 /v);
});

test('a request with too many headers is told so', async t => {
	const {callers} = await startNode(t);
	const socket = connect(callers);
	socket.write(`GET /healthz HTTP/1.1\r\nhost: x\r\nx: ${'x'.repeat(100_000)}\r\n\r\n`);
	t.match(await text(socket), /^HTTP\/1.1 431 /v);
});
