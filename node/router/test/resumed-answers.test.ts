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
