/*
Guards against answers that are given up although a caller reads them through another node.
*/
import {test, type Test} from 'tap';
import {
	callNode,
	createChat,
	startFleet,
	waitUntil,
	type Fleet,
} from '@valvesaddle/fake-fleet';
import {createAnswerLog, createAnswerStore} from '@valvesaddle/answers';
import {createMetrics} from '@valvesaddle/metrics';
import {createPeerNetwork, type PeerNetwork} from '@valvesaddle/network';
import {createAnswerReaders} from '../src/create-answer-readers.ts';
import {createPeerHandlers} from '../src/create-peer-handlers.ts';
import {createRemoteAnswer} from '../src/create-remote-answer.ts';
import {getExpectedAnswer} from './expected-answer.ts';
import {getContent} from './get-content.ts';

/**
Starts a streamed answer at the first node and breaks its caller's connection; returns the request id.
*/
async function startAndDisconnect(t: Test, fleet: Fleet, tokens: number): Promise<string> {
	const [first] = fleet.nodes;
	const abort = new AbortController();
	const aborted = callNode(first!.callers, '/v1/chat/completions', {body: createChat(tokens, true), signal: abort.signal});
	await waitUntil(() => fleet.engines[0]!.counts().tokens >= 3);
	const [requestId = ''] = first!.router.openRequestIds();
	abort.abort();
	await t.rejects(aborted);
	return requestId;
}

/**
Two nodes, `a` and `b`; `b` holds an answer.
*/
async function startPair(t: Test) {
	const answers = createAnswerStore({retentionMs: 60_000, maximumCharacters: 100_000_000});
	let reads = 0;
	const log = createAnswerLog({
		requestId: 'b_1', account: 'sawmill', graceMs: 60_000, onAbandoned() {
			// Never abandoned.
		},
	});
	answers.add({
		...log,
		async readWithin(offset, waitMs) {
			reads += offset;
			return log.readWithin(offset, waitMs);
		},
	});
	const addresses = new Map<string, string>();
	const create = (node: string): PeerNetwork => createPeerNetwork({
		node, host: '127.0.0.1', port: 0, token: 'x', findAddress: name => addresses.get(name), linkTimeoutMs: 60_000, isCompressed: false, metrics: createMetrics(),
	});
	const network = create('a');
	const holder = create('b');
	await network.listen({});
	addresses.set('b', await holder.listen(createPeerHandlers({answers, readers: createAnswerReaders({silenceMs: 60_000})} as unknown as Parameters<typeof createPeerHandlers>[0])));
	t.teardown(async () => {
		answers.close();
		await network.close();
		await holder.close();
	});
	return {network, log: {...log, isRead: () => reads > 0}};
}

test('an answer is not abandoned while its caller reads it through another node', async t => {
	const fleet = await startFleet({nodes: 2, engines: [{stepMs: 3}], settings: {limits: {abandon_ms: 200}}});
	t.teardown(fleet.close);
	const requestId = await startAndDisconnect(t, fleet, 300);
	const remaining = await callNode(fleet.nodes[1]!.callers, `/v1/requests/${requestId}`);
	t.equal(getContent(remaining), getExpectedAnswer(300));
});

test('an answer is abandoned when the caller that reads it through another node leaves', async t => {
	const fleet = await startFleet({nodes: 2, engines: [{stepMs: 3}], settings: {limits: {abandon_ms: 500}}});
	t.teardown(fleet.close);
	const requestId = await startAndDisconnect(t, fleet, 100_000);
	const abort = new AbortController();
	const reading = callNode(fleet.nodes[1]!.callers, `/v1/requests/${requestId}`, {signal: abort.signal});
	const before = fleet.engines[0]!.counts().tokens;
	await waitUntil(() => fleet.engines[0]!.counts().tokens >= before + 30);
	abort.abort();
	await t.rejects(reading);
	await waitUntil(() => fleet.engines[0]!.load() === 0);
});

test('an answer that is read through another node continues after the link between the nodes broke', async t => {
	const {network, log} = await startPair(t);
	const source = createRemoteAnswer({
		network, holder: 'b', requestId: log.requestId, account: log.account,
	});
	log.append('"1"');
	t.same(await source.read(0), {parts: ['"1"']});
	const reading = source.read(1);
	await waitUntil(() => log.isRead());
	network.disconnect('b');
	log.append('"2"');
	t.same(await reading, {parts: ['"2"']});
});

test('a caller that resumes through another node is told to come back when the holder of the answer is not reached', async t => {
	const fleet = await startFleet({nodes: 2, engines: [{stepMs: 3}], settings: {limits: {abandon_ms: 5000}}});
	t.teardown(fleet.close);
	const requestId = await startAndDisconnect(t, fleet, 100_000);
	await fleet.nodes[0]!.router.close();
	const refused = await callNode(fleet.nodes[1]!.callers, `/v1/requests/${requestId}`);
	t.match(refused, {status: 503, json: {error: {code: 'ERR_VALVESADDLE_PEER_UNREACHABLE', ran: 'maybe', retryable: true}}});
	t.ok(Number(refused.headers['retry-after']) >= 1);
});

test('a caller that resumes an unknown answer is not told that its request did not run', async t => {
	const fleet = await startFleet({nodes: 1, engines: [{}]});
	t.teardown(fleet.close);
	const refused = await callNode(fleet.nodes[0]!.callers, '/v1/requests/n1_5f');
	t.match(refused, {status: 404, json: {error: {code: 'ERR_VALVESADDLE_UNKNOWN_REQUEST', ran: 'maybe'}}});
});
