/*
Guards against replies that callers of another node lose: one that is longer than a message, and one whose node leaves.
*/
import type {ServerResponse} from 'node:http';
import {test, type Test} from 'tap';
import {
	callNode,
	startFleet,
	waitUntil,
	type CallResult,
	type Fleet,
} from '@valvesaddle/fake-fleet';
import {startFakeServer} from '@valvesaddle/fake-http';

const reply = 'x→'.repeat(2_000_000);

async function startPair(t: Test) {
	const waiting: ServerResponse[] = [];
	const service = await startFakeServer({
		handle(_request, response) {
			waiting.push(response);
		},
	});
	const fleet = await startFleet({
		nodes: 2, engines: [{}],
		configure: configuration => ({
			...configuration,
			endpoints: configuration.endpoints.map(endpoint => endpoint.pool === 'permits' ? {...endpoint, url: service.url} : endpoint),
		}),
	});
	t.teardown(async () => {
		await fleet.close();
		await service.close();
	});
	return {fleet, waiting};
}

async function callPermits(fleet: Fleet, node: number): Promise<CallResult> {
	return callNode(fleet.nodes[node]!.callers, '/v1/services/permits/issue', {body: 'a', headers: {'idempotency-key': 'permit-1'}});
}

test('a reply longer than the maximum message reaches a caller with the same key at another node', async t => {
	const {fleet, waiting} = await startPair(t);
	const first = callPermits(fleet, 0);
	await waitUntil(() => waiting.length === 1);
	waiting[0]!.end(reply);
	t.ok((await first).text === reply);
	const repeated = await callPermits(fleet, 1);
	t.equal(repeated.status, 200);
	t.ok(repeated.text === reply, `${repeated.text.length} characters`);
	t.equal(waiting.length, 1);
});

test('a node that leaves keeps a reply until a caller at another node has read it', async t => {
	const {fleet, waiting} = await startPair(t);
	const [first] = fleet.nodes;
	const calls = [callPermits(fleet, 0)];
	await waitUntil(() => waiting.length === 1);
	calls.push(callPermits(fleet, 1));
	await waitUntil(() => fleet.nodes[1]!.router.status().openRequests === 0 && fleet.nodes[1]!.router.metrics.total('requests.held') === 1);
	const drained = first!.router.drain();
	waiting[0]!.end(reply);
	const results = await Promise.all(calls);
	await drained;
	t.same(results.map(({status}) => status), [200, 200]);
	t.ok(results.every(({text}) => text === reply));
	t.equal(waiting.length, 1);
});
