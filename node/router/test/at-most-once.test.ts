import {test} from 'tap';
import {
	callNode,
	createChat,
	startFleet,
	waitUntil,
	type CallResult,
	type Fleet,
} from '@valvesaddle/fake-fleet';
import {getExpectedAnswer} from './expected-answer.ts';
import {getContent} from './get-content.ts';

const body = {truck: 'PB 1234'};

async function issue(fleet: Fleet, node: number, key: string): Promise<CallResult> {
	return callNode(fleet.nodes[node]!.callers, '/v1/services/permits/issue', {body, headers: {'idempotency-key': key}});
}

function countRuns(fleet: Fleet): number {
	return fleet.service.runs().get(JSON.stringify(body)) ?? 0;
}

test('concurrent calls with the same key through all nodes run once and get the same reply', async t => {
	const fleet = await startFleet({nodes: 3, engines: [{}]});
	t.teardown(fleet.close);
	fleet.service.setDelay(20);
	const results = await Promise.all(Array.from({length: 12}, async (_, index) => issue(fleet, index % 3, 'permit-1')));
	t.equal(countRuns(fleet), 1);
	t.same(results.map(({status, text}) => [status, text]), results.map(() => [200, results[0]!.text]));
});

test('a retry through another node gets the stored answer', async t => {
	const fleet = await startFleet({nodes: 2, engines: [{}]});
	t.teardown(fleet.close);
	const first = await issue(fleet, 0, 'permit-1');
	const second = await issue(fleet, 1, 'permit-1');
	t.equal(second.text, first.text);
	t.equal(countRuns(fleet), 1);
});

test('a key that was used for another request is refused', async t => {
	const fleet = await startFleet({nodes: 2, engines: [{}]});
	t.teardown(fleet.close);
	await issue(fleet, 0, 'permit-1');
	const other = await callNode(fleet.nodes[1]!.callers, '/v1/services/permits/issue', {body: {truck: 'other'}, headers: {'idempotency-key': 'permit-1'}});
	t.match(other, {status: 422, json: {error: {code: 'ERR_VALVESADDLE_IDEMPOTENCY_KEY_REUSED', ran: 'no'}}});
});

test('a service that disconnects after its effect is called once, and the caller gets an error that it may have run', async t => {
	const fleet = await startFleet({nodes: 2, engines: [{}]});
	t.teardown(fleet.close);
	fleet.service.setFault('drop-after');
	t.match(await issue(fleet, 0, 'permit-1'), {status: 409, json: {error: {code: 'ERR_VALVESADDLE_MAY_HAVE_RUN', ran: 'maybe', retryable: false}}});
	fleet.service.setFault(undefined);
	t.match(await issue(fleet, 1, 'permit-1'), {status: 409, json: {error: {ran: 'maybe'}}});
	t.equal(countRuns(fleet), 1);
});

test('a retry after the failure of the node that holds the claim gets an error that it may have run, and does not run again', async t => {
	const fleet = await startFleet({nodes: 3, engines: [{}]});
	t.teardown(fleet.close);
	await issue(fleet, 0, 'permit-1');
	await fleet.nodes[0]!.router.close();
	t.match(await issue(fleet, 1, 'permit-1'), {status: 409, json: {error: {code: 'ERR_VALVESADDLE_MAY_HAVE_RUN', ran: 'maybe'}}});
	t.equal(countRuns(fleet), 1);
});

test('a request that the service did not run can be retried with the same key', async t => {
	const fleet = await startFleet({nodes: 2, engines: [{}]});
	t.teardown(fleet.close);
	fleet.service.setFault('refuse');
	const refused = await issue(fleet, 0, 'permit-1');
	t.match(refused.json, {error: {ran: 'no'}});
	t.equal(countRuns(fleet), 0);
	fleet.service.setFault(undefined);
	let retried = await issue(fleet, 1, 'permit-1');
	while (retried.status === 503) {
		// The endpoint is ejected for its refusals until a probe succeeds.
		// eslint-disable-next-line no-await-in-loop -- one attempt after the other
		retried = await issue(fleet, 1, 'permit-1');
	}

	t.equal(retried.status, 200);
	t.equal(countRuns(fleet), 1);
});

test('while the key-value service is down, calls that may run only once are refused and all others are served', async t => {
	const fleet = await startFleet({nodes: 2, engines: [{stepMs: 1}]});
	t.teardown(fleet.close);
	fleet.kv.setFault('refuse');
	t.match(await issue(fleet, 0, 'permit-1'), {status: 503, json: {error: {code: 'ERR_VALVESADDLE_CLAIMS_UNAVAILABLE', ran: 'no'}}});
	t.equal(countRuns(fleet), 0);
	t.equal((await callNode(fleet.nodes[1]!.callers, '/v1/chat/completions', {body: createChat(5)})).status, 200);
	fleet.kv.setFault(undefined);
	await waitUntil(async () => (await issue(fleet, 1, 'permit-1')).status === 200);
	t.equal(countRuns(fleet), 1);
});

test('a chat completion with a key runs once and is streamed to each caller from the start', async t => {
	const fleet = await startFleet({nodes: 2, engines: [{stepMs: 3}]});
	t.teardown(fleet.close);
	const results = await Promise.all([0, 1, 0, 1].map(async node => callNode(fleet.nodes[node]!.callers, '/v1/chat/completions', {body: createChat(30, true), headers: {'idempotency-key': 'draft-1'}})));
	t.same(results.map(result => getContent(result)), results.map(() => getExpectedAnswer(30)));
	t.equal(fleet.engines[0]!.counts().requests, 1);
});

test('a chat completion with a key that breaks off is not run again, and the caller gets an error', async t => {
	const fleet = await startFleet({nodes: 1, engines: [{stepMs: 3}, {stepMs: 3}]});
	t.teardown(fleet.close);
	const answer = callNode(fleet.nodes[0]!.callers, '/v1/chat/completions', {body: createChat(60), headers: {'idempotency-key': 'draft-1'}});
	await waitUntil(() => fleet.engines.some(engine => engine.counts().tokens > 5));
	for (const engine of fleet.engines) {
		engine.crash();
	}

	t.match(await answer, {status: 409, json: {error: {code: 'ERR_VALVESADDLE_MAY_HAVE_RUN', ran: 'yes'}}});
	t.equal(fleet.engines.reduce((sum, engine) => sum + engine.counts().requests, 0), 1);
});
