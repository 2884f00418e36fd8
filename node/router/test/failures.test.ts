import {test} from 'tap';
import {request} from 'undici';
import {
	callNode,
	createChat,
	fleetKeys,
	startFleet,
	waitUntil,
	type Fleet,
	type FleetNode,
} from '@valvesaddle/fake-fleet';
import {getExpectedAnswer} from './expected-answer.ts';
import {getContent} from './get-content.ts';

function findDispatcherNode(fleet: Fleet, pool = 'drafting'): FleetNode | undefined {
	return fleet.nodes.find(({router}) => router.status().pools.some(status => status.pool === pool));
}

async function waitForTokens(fleet: Fleet, tokens: number): Promise<void> {
	await waitUntil(() => fleet.engines.reduce((sum, engine) => sum + engine.counts().tokens, 0) >= tokens);
}

test('an answer whose engine crashes continues on another one without lost or repeated tokens', async t => {
	const fleet = await startFleet({nodes: 2, engines: [{stepMs: 3}, {stepMs: 3}]});
	t.teardown(fleet.close);
	const answer = callNode(fleet.nodes[0]!.callers, '/v1/chat/completions', {body: createChat(60, true)});
	await waitForTokens(fleet, 10);
	fleet.engines.find(engine => engine.load() > 0)?.crash();
	const result = await answer;
	t.equal(getContent(result), getExpectedAnswer(60));
	t.equal(fleet.engines.reduce((sum, engine) => sum + engine.counts().resumed, 0), 1);
});

const midAnswerFaults = ['truncate', 'garbage', 'freeze', 'fail', 'refuse'] as const;
for (const fault of midAnswerFaults) {
	test(`callers get complete answers while an engine has the fault "${fault}"`, async t => {
		const fleet = await startFleet({nodes: 1, engines: [{stepMs: 2}, {stepMs: 2}], settings: {limits: {pause_ms: 300, first_token_ms: 300}}});
		t.teardown(fleet.close);
		fleet.engines[0]!.setFault(fault);
		const results = await Promise.all(Array.from({length: 4}, async () => callNode(fleet.nodes[0]!.callers, '/v1/chat/completions', {body: createChat(20)})));
		t.same(results.map(result => getContent(result)), Array.from({length: 4}, () => getExpectedAnswer(20)));
	});
}

test('an engine that requested a cooldown gets no requests until it ends', async t => {
	const fleet = await startFleet({nodes: 2, engines: [{stepMs: 2}, {stepMs: 2}]});
	t.teardown(fleet.close);
	const callAll = async () => Promise.all(Array.from({length: 8}, async (_value, call) => callNode(fleet.nodes[call % 2]!.callers, '/v1/chat/completions', {body: createChat(4)})));
	const results = await callAll();
	fleet.engines[0]!.setFault('busy');
	results.push(...await callAll());
	const {refused} = fleet.engines[0]!.counts();
	t.ok(refused > 0);
	results.push(...await callAll());
	t.same(results.map(result => getContent(result)), results.map(() => getExpectedAnswer(4)));
	t.equal(fleet.engines[0]!.counts().refused, refused);
});

test('an engine that freezes before its first token delays urgent requests only until the latency objective of their class', async t => {
	const fleet = await startFleet({
		nodes: 1,
		engines: [{stepMs: 2}, {stepMs: 2}],
		configure: configuration => ({...configuration, classes: configuration.classes.map(requestClass => ({...requestClass, firstTokenTargetMs: 200}))}),
	});
	t.teardown(fleet.close);
	fleet.engines[0]!.setFault('freeze');
	const results = await Promise.all(Array.from({length: 4}, async () => callNode(fleet.nodes[0]!.callers, '/v1/chat/completions', {body: createChat(10)})));
	t.same(results.map(result => getContent(result)), Array.from({length: 4}, () => getExpectedAnswer(10)));
	t.ok(fleet.nodes[0]!.router.metrics.total('attempts.failed') > 0);
});

test('a failure of the dispatcher\'s node breaks no stream, and queued requests are served', async t => {
	const fleet = await startFleet({
		nodes: 3, engines: [{stepMs: 3}],
		configure: configuration => ({...configuration, endpoints: configuration.endpoints.map(endpoint => ({...endpoint, initialLimit: 1}))}),
	});
	t.teardown(fleet.close);
	await callNode(fleet.nodes[0]!.callers, '/v1/chat/completions', {body: createChat(1)});
	const dispatcherNode = findDispatcherNode(fleet)!;
	const entry = fleet.nodes.find(node => node !== dispatcherNode)!;
	const answers = [40, 41, 42].map(async tokens => callNode(entry.callers, '/v1/chat/completions', {body: createChat(tokens)}));
	await waitUntil(() => dispatcherNode.router.status().pools.some(({waiting}) => waiting === 2));
	await dispatcherNode.router.close();
	t.same((await Promise.all(answers)).map(result => getContent(result)), [40, 41, 42].map(tokens => getExpectedAnswer(tokens)));
});

test('a caller that loses its connection resumes the answer through another node', async t => {
	const fleet = await startFleet({nodes: 2, engines: [{stepMs: 3}], settings: {limits: {abandon_ms: 5000}}});
	t.teardown(fleet.close);
	const abort = new AbortController();
	const aborted = callNode(fleet.nodes[0]!.callers, '/v1/chat/completions', {body: createChat(50, true), signal: abort.signal});
	await waitForTokens(fleet, 10);
	const requestId = fleet.nodes[0]!.router.status().openRequests === 1 ? await findRequestId(fleet) : '';
	abort.abort();
	await t.rejects(aborted);
	const remaining = await callNode(fleet.nodes[1]!.callers, `/v1/requests/${requestId}`, {headers: {'last-event-id': `${requestId}:7`}});
	t.equal(getContent(remaining), getExpectedAnswer(50).split(' ').slice(7).join(' '));
	for (const node of fleet.nodes) {
		// eslint-disable-next-line no-await-in-loop -- one node after the other
		const refused = await callNode(node.callers, `/v1/requests/${requestId}`, {key: fleetKeys.otherCaller});
		t.match(refused, {status: 404, json: {error: {code: 'ERR_VALVESADDLE_UNKNOWN_REQUEST'}}}, node.id);
	}
});

async function findRequestId(fleet: Fleet): Promise<string> {
	let requestId = '';
	await waitUntil(() => {
		requestId = fleet.nodes[0]!.router.openRequestIds()[0] ?? '';
		return requestId !== '';
	});
	return requestId;
}

test('a caller whose node fails during an answer continues it through another node', async t => {
	const fleet = await startFleet({nodes: 2, engines: [{stepMs: 3}, {stepMs: 3}]});
	t.teardown(fleet.close);
	const chat = createChat(60, true);
	const response = await request(`http://${fleet.nodes[0]!.callers}/v1/chat/completions`, {
		method: 'POST', headers: {authorization: `Bearer ${fleetKeys.caller}`}, body: JSON.stringify(chat),
	});
	let received = '';
	try {
		for await (const bytes of response.body) {
			received += String(bytes);
			if (received.includes('t9 ')) {
				await fleet.nodes[0]!.router.close();
			}
		}

		t.fail('the connection did not break');
	} catch {
		// The connection breaks as when the process is killed.
	}

	const partialAnswer = getContent({
		status: 200, headers: {}, text: received.slice(0, received.lastIndexOf('\n\n')), json: undefined,
	});
	t.match(getExpectedAnswer(60), partialAnswer);
	const remaining = await callNode(fleet.nodes[1]!.callers, '/v1/chat/completions', {
		body: {
			...chat,
			max_tokens: 60 - (partialAnswer.split(' ').length - 1),
			messages: [...chat.messages, {role: 'assistant', content: partialAnswer}],
			continue_final_message: true,
			add_generation_prompt: false,
		},
	});
	t.equal(partialAnswer + getContent(remaining), getExpectedAnswer(60));
	await waitUntil(() => fleet.engines.every(engine => engine.load() === 0));
});

test('an answer is cancelled at the engine when its caller does not reconnect', async t => {
	const fleet = await startFleet({nodes: 1, engines: [{stepMs: 3}], settings: {limits: {abandon_ms: 50}}});
	t.teardown(fleet.close);
	const abort = new AbortController();
	const aborted = callNode(fleet.nodes[0]!.callers, '/v1/chat/completions', {body: createChat(5000, true), signal: abort.signal});
	await waitForTokens(fleet, 3);
	abort.abort();
	await t.rejects(aborted);
	await waitUntil(() => fleet.engines[0]!.load() === 0);
	t.ok(fleet.engines[0]!.counts().cancelledTokens < 5000);
});

test('a graceful shutdown of a node interrupts no request, and its dispatcher moves to another node', async t => {
	const fleet = await startFleet({nodes: 3, engines: [{stepMs: 3}, {stepMs: 3}]});
	t.teardown(fleet.close);
	const answers = fleet.nodes.flatMap(node => [30, 60].map(async tokens => callNode(node.callers, '/v1/chat/completions', {body: createChat(tokens)})));
	await waitForTokens(fleet, 20);
	const drained = findDispatcherNode(fleet)!;
	await drained.router.drain();
	const contents = (await Promise.all(answers)).map(result => getContent(result));
	t.same(contents, fleet.nodes.flatMap(() => [getExpectedAnswer(30), getExpectedAnswer(60)]));
	await t.rejects(callNode(drained.callers, '/healthz'));
	const entry = fleet.nodes.find(node => node !== drained)!;
	t.equal((await callNode(entry.callers, '/v1/chat/completions', {body: createChat(5)})).status, 200);
});

test('a draining endpoint finishes its open answers and gets no new requests', async t => {
	const fleet = await startFleet({nodes: 2, engines: [{stepMs: 3}, {stepMs: 3}]});
	t.teardown(fleet.close);
	const open = Array.from({length: 6}, async () => callNode(fleet.nodes[0]!.callers, '/v1/chat/completions', {body: createChat(80)}));
	await waitUntil(() => fleet.engines.every(engine => engine.load() > 0));
	const draining = fleet.engines[0]!;
	await fleet.apply(configuration => ({
		...configuration, endpoints: configuration.endpoints.map(endpoint => ({...endpoint, leaving: endpoint.leaving || endpoint.url === draining.url})),
	}));
	const before = draining.counts().requests;
	const results = await Promise.all(Array.from({length: 10}, async () => callNode(fleet.nodes[1]!.callers, '/v1/chat/completions', {body: createChat(5)})));
	t.ok(results.every(({status}) => status === 200));
	t.equal(draining.counts().requests, before);
	t.same((await Promise.all(open)).map(result => getContent(result)), Array.from({length: 6}, () => getExpectedAnswer(80)));
});

test('adding dispatchers to a pool interrupts no open answer', async t => {
	const fleet = await startFleet({nodes: 3, engines: Array.from({length: 6}, () => ({stepMs: 3}))});
	t.teardown(fleet.close);
	const call = async (tokens: number) => callNode(fleet.nodes[tokens % 3]!.callers, '/v1/chat/completions', {body: createChat(tokens)});
	const before = Array.from({length: 12}, async (_, index) => call(80 + index));
	await waitForTokens(fleet, 50);
	await fleet.apply(configuration => ({...configuration, pools: configuration.pools.map(pool => ({...pool, dispatchers: pool.name === 'drafting' ? 3 : 1}))}));
	const after = Array.from({length: 30}, async (_, index) => call(10 + index));
	t.same((await Promise.all(after)).map(result => getContent(result)), Array.from({length: 30}, (_, index) => getExpectedAnswer(10 + index)));
	t.same((await Promise.all(before)).map(result => getContent(result)), Array.from({length: 12}, (_, index) => getExpectedAnswer(80 + index)));
	const shards = fleet.nodes.flatMap(({router}) => router.status().pools.filter(({pool}) => pool === 'drafting'));
	t.equal(shards.length, 3);
	t.equal(shards.flatMap(({endpoints}) => endpoints).length, 6);
});

test('a burst over capacity serves urgent requests, and refuses others without running them', async t => {
	const fleet = await startFleet({
		nodes: 2, engines: [{stepMs: 4, batch: 4}],
		configure: configuration => ({
			...configuration,
			classes: configuration.classes.map(requestClass => ({...requestClass, maximumWaitMs: requestClass.urgent ? 30_000 : 500})),
			endpoints: configuration.endpoints.map(endpoint => ({...endpoint, initialLimit: 2})),
		}),
	});
	t.teardown(fleet.close);
	const call = async (index: number, className: string) => callNode(fleet.nodes[index % 2]!.callers, '/v1/chat/completions', {body: createChat(40), headers: {'x-valvesaddle-class': className}});
	const estimates = Array.from({length: 40}, async (_, index) => call(index, 'estimate'));
	const gates = Array.from({length: 6}, async (_, index) => call(index, 'gate'));
	const [estimateResults, gateResults] = await Promise.all([Promise.all(estimates), Promise.all(gates)]);
	t.same(gateResults.map(({status}) => status), gateResults.map(() => 200));
	const refused = estimateResults.filter(({status}) => status !== 200);
	t.ok(refused.length > 0, 'some estimates are refused');
	t.ok(refused.length < 40, 'some estimates are served');
	t.ok(refused.every(({json, headers}) => (json as {error: {ran: string}}).error.ran === 'no' && Number(headers['retry-after']) >= 1));
	t.equal(fleet.engines[0]!.counts().requests, 46 - refused.length);
});
