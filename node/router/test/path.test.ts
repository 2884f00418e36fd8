import {test} from 'tap';
import {
	callNode,
	createChat,
	fleetKeys,
	startFleet,
	waitUntil,
} from '@valvesaddle/fake-fleet';
import {getExpectedAnswer} from './expected-answer.ts';
import {getContent} from './get-content.ts';

test('a request is granted by a dispatcher on another node and streamed from the engine, with a span for each hop', async t => {
	const fleet = await startFleet({nodes: 3, engines: [{stepMs: 2}, {stepMs: 2}]});
	t.teardown(fleet.close);
	await callNode(fleet.nodes[0]!.callers, '/v1/chat/completions', {body: createChat(3)});
	const dispatcherNode = fleet.nodes.find(({router}) => router.status().pools.some(({pool}) => pool === 'drafting'));
	const entry = fleet.nodes.find(node => node !== dispatcherNode)!;
	const traceparent = `00-${'ab'.repeat(16)}-${'cd'.repeat(8)}-01`;
	const result = await callNode(entry.callers, '/v1/chat/completions', {body: createChat(20, true), headers: {traceparent}});
	t.equal(result.status, 200);
	t.equal(getContent(result), getExpectedAnswer(20));
	t.match(result.text, 'data: [DONE]');
	const hops = fleet.nodes.flatMap(({id, router}) => router.tracing.finished().filter(({traceId}) => traceId === 'ab'.repeat(16)).map(({name}) => `${name}@${id}`));
	t.same(hops.toSorted(), [`dispatch.queue@${dispatcherNode?.id}`, `dispatch.wait@${entry.id}`, `endpoint@${entry.id}`, `request@${entry.id}`].toSorted());
});

test('concurrent callers on all nodes each get their own complete answer', async t => {
	const fleet = await startFleet({nodes: 3, engines: [{stepMs: 1}, {stepMs: 3}, {stepMs: 2}]});
	t.teardown(fleet.close);
	const answers = await Promise.all(Array.from({length: 60}, async (_, index) => {
		const node = fleet.nodes[index % 3]!;
		const result = await callNode(node.callers, '/v1/chat/completions', {body: createChat(index + 1, index % 2 === 0)});
		return getContent(result) === getExpectedAnswer(index + 1);
	}));
	t.same(answers.filter(isCorrect => !isCorrect), []);
});

test('a call to a plain service is forwarded, and its reply is returned unchanged', async t => {
	const fleet = await startFleet({nodes: 1, engines: [{}]});
	t.teardown(fleet.close);
	const result = await callNode(fleet.nodes[0]!.callers, '/v1/services/permits/issue?year=2026', {body: {truck: 'PB 1234'}, headers: {'idempotency-key': 'k1'}});
	t.match(result, {status: 200, json: {number: 1, path: '/issue'}});
});

test('bound models are listed, and health and readiness need no key', async t => {
	const fleet = await startFleet({nodes: 1, engines: [{}]});
	t.teardown(fleet.close);
	const {callers} = fleet.nodes[0]!;
	t.match((await callNode(callers, '/v1/models')).json, {data: [{id: 'drafting'}]});
	t.equal((await callNode(callers, '/healthz', {key: ''})).status, 200);
	t.equal((await callNode(callers, '/readyz', {key: ''})).status, 200);
});

type InvalidCase = {
	readonly name: string;
	readonly path?: string;
	readonly key?: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body: unknown;
	readonly status: number;
	readonly code: string;
};

const invalidCases: readonly InvalidCase[] = [
	{
		name: 'an unknown key', key: 'wrong', body: createChat(1), status: 401, code: 'ERR_VALVESADDLE_UNAUTHENTICATED',
	},
	{
		name: 'an unknown model', body: {...createChat(1), model: 'other'}, status: 404, code: 'ERR_VALVESADDLE_UNKNOWN_MODEL',
	},
	{
		name: 'a body that is not JSON', body: '{', status: 400, code: 'ERR_VALVESADDLE_MALFORMED_BODY',
	},
	{
		name: 'a body without messages', body: {model: 'drafting'}, status: 400, code: 'ERR_VALVESADDLE_MALFORMED_BODY',
	},
	{
		name: 'a body that is too large', body: 'x'.repeat(5000), status: 413, code: 'ERR_VALVESADDLE_BODY_TOO_LARGE',
	},
	{
		name: 'an unknown class', body: createChat(1), headers: {'x-valvesaddle-class': 'other'}, status: 403, code: 'ERR_VALVESADDLE_CLASS_NOT_ALLOWED',
	},
	{
		name: 'an unknown path', path: '/v2/other', body: {}, status: 404, code: 'ERR_VALVESADDLE_NOT_FOUND',
	},
	{
		name: 'an account without a binding', key: fleetKeys.otherCaller, body: createChat(1), status: 403, code: 'ERR_VALVESADDLE_UNBOUND_ACCOUNT',
	},
	{
		name: 'a non-repeatable call without a key', path: '/v1/services/permits', body: {}, status: 400, code: 'ERR_VALVESADDLE_IDEMPOTENCY_KEY_REQUIRED',
	},
];

test('invalid input gets a typed error with `ran: no`, and nothing is forwarded', async t => {
	const fleet = await startFleet({
		nodes: 1, engines: [{}], settings: {limits: {body_bytes: 4096}},
		configure: configuration => ({...configuration, bindings: configuration.bindings.filter(({account}) => account === 'sawmill')}),
	});
	t.teardown(fleet.close);
	for (const {name, path, key, headers, body, status, code} of invalidCases) {
		// eslint-disable-next-line no-await-in-loop -- one case after the other
		const result = await callNode(fleet.nodes[0]!.callers, path ?? '/v1/chat/completions', {body, ...(key !== undefined && {key}), ...(headers !== undefined && {headers})});
		t.match(result, {status, json: {error: {code, ran: 'no'}}}, name);
	}

	t.equal(fleet.engines[0]!.counts().requests, 0);
	t.equal(fleet.service.runs().size, 0);
});

test('a class header can lower the class but not raise it', async t => {
	const fleet = await startFleet({
		nodes: 1, engines: [{}],
		configure: configuration => ({...configuration, bindings: [{account: 'sawmill', pool: 'drafting', classes: ['route', 'gate', 'estimate']}]}),
	});
	t.teardown(fleet.close);
	const call = async (className: string): Promise<number> => {
		const {status} = await callNode(fleet.nodes[0]!.callers, '/v1/chat/completions', {body: createChat(1), headers: {'x-valvesaddle-class': className}});
		return status;
	};

	t.equal(await call('gate'), 403);
	t.equal(await call('route'), 200);
	t.equal(await call('estimate'), 200);
});

test('an account at its maximum of open requests is refused until one ends', async t => {
	const fleet = await startFleet({
		nodes: 1, engines: [{stepMs: 5}],
		configure: configuration => ({...configuration, accounts: configuration.accounts.map(account => ({...account, maximumOpen: 1}))}),
	});
	t.teardown(fleet.close);
	const {callers, router} = fleet.nodes[0]!;
	const first = callNode(callers, '/v1/chat/completions', {body: createChat(30)});
	await waitUntil(() => router.status().openRequests === 1);
	t.match(await callNode(callers, '/v1/chat/completions', {body: createChat(1)}), {status: 429, json: {error: {code: 'ERR_VALVESADDLE_ACCOUNT_LIMIT', ran: 'no'}}});
	t.equal((await callNode(callers, '/v1/chat/completions', {body: createChat(1), key: fleetKeys.otherCaller})).status, 200);
	t.equal((await first).status, 200);
});
