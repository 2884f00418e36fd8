import {setTimeout as delay} from 'node:timers/promises';
import {test} from 'tap';
import {behaviours, startFakeEndpoint, type ArrivedRequest} from '@valvesaddle/fake-endpoint';
import {waitUntil} from '@valvesaddle/fake-fleet';
import {startPlatform} from './start-platform.ts';

type Case = {
	readonly path: string;
	readonly sequence: ReadonlyArray<keyof typeof behaviours>;
	readonly status: number;
	readonly arrivals: number;
	readonly text?: RegExp;
};

const allEvents = /^id: 0\ndata: piece 0\n\nid: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\n$/v;

const cases: readonly Case[] = [
	{
		path: '/safe/x', sequence: ['whole'], status: 200, arrivals: 1, text: /^body of GET \/safe\/x HTTP\/1\.1$/v,
	},
	{
		path: '/safe/x', sequence: ['reset', 'whole'], status: 200, arrivals: 2,
	},
	{
		path: '/safe/x', sequence: ['failed', 'whole'], status: 200, arrivals: 2,
	},
	{
		path: '/safe/x', sequence: ['failed'], status: 500, arrivals: 2, text: /^failed$/v,
	},
	{
		path: '/safe/x', sequence: ['unsigned', 'whole'], status: 200, arrivals: 2,
	},
	{
		path: '/safe/x', sequence: ['unsignedRejection', 'whole'], status: 200, arrivals: 2,
	},
	{
		path: '/safe/x', sequence: ['unsignedRedirect', 'whole'], status: 200, arrivals: 2,
	},
	{
		path: '/safe/x', sequence: ['bareRejection', 'whole'], status: 200, arrivals: 2,
	},
	{
		path: '/safe/x', sequence: ['encoded', 'whole'], status: 200, arrivals: 2,
	},
	{
		path: '/safe/x', sequence: ['otherRequest', 'whole'], status: 200, arrivals: 2,
	},
	{
		path: '/safe/x', sequence: ['truncated', 'whole'], status: 200, arrivals: 2,
	},
	{
		path: '/safe/x', sequence: ['unframedReset', 'whole'], status: 200, arrivals: 2,
	},
	{
		path: '/safe/x', sequence: ['unframed'], status: 200, arrivals: 1, text: /^whole to the end$/v,
	},
	{
		path: '/safe/x', sequence: ['twice'], status: 200, arrivals: 1, text: /^first$/v,
	},
	{
		path: '/unsafe/x', sequence: ['reset', 'whole'], status: 502, arrivals: 1,
	},
	{
		path: '/unsafe/x', sequence: ['truncated', 'whole'], status: 502, arrivals: 1,
	},
	{
		path: '/unsafe/x', sequence: ['unframedReset', 'whole'], status: 502, arrivals: 1,
	},
	{
		path: '/unsafe/x', sequence: ['unsigned', 'whole'], status: 502, arrivals: 1,
	},
	{
		path: '/unsafe/x', sequence: ['unsignedRejection', 'whole'], status: 502, arrivals: 1,
	},
	{
		path: '/unsafe/x', sequence: ['unsignedRedirect', 'whole'], status: 502, arrivals: 1,
	},
	{
		path: '/unsafe/x', sequence: ['bareRejection', 'whole'], status: 502, arrivals: 1,
	},
	{
		path: '/unsafe/x', sequence: ['otherRequest', 'whole'], status: 502, arrivals: 1,
	},
	{
		path: '/unsafe/x', sequence: ['unmarkedRefusal', 'whole'], status: 502, arrivals: 1,
	},
	{
		path: '/unsafe/x', sequence: ['failed', 'whole'], status: 500, arrivals: 1, text: /^failed$/v,
	},
	{
		path: '/unsafe/x', sequence: ['notRun', 'whole'], status: 200, arrivals: 2,
	},
	{
		path: '/unsafe/x', sequence: ['misdirected', 'whole'], status: 200, arrivals: 2,
	},
	{
		path: '/unsafe/x', sequence: ['notRun'], status: 503, arrivals: 2, text: /"ran":"no"/v,
	},
	{
		path: '/stream/x', sequence: ['stream'], status: 200, arrivals: 1, text: allEvents,
	},
	{
		path: '/stream/x', sequence: ['brokenStream', 'stream'], status: 200, arrivals: 1, text: /^id: 0\ndata: piece 0\n\nid: 1\ndata: piece 1\n\n[\s\S]*\(broken\)$/v,
	},
	{
		path: '/stream/x', sequence: ['reset', 'stream'], status: 502, arrivals: 1,
	},
	{
		path: '/resumable/x', sequence: ['brokenStream', 'stream'], status: 200, arrivals: 2, text: allEvents,
	},
	{
		path: '/resumable/x', sequence: ['reset', 'stream'], status: 200, arrivals: 2, text: allEvents,
	},
	{
		path: '/resumable/x', sequence: ['brokenStream', 'reset'], status: 200, arrivals: 2, text: /\(broken\)$/v,
	},
	{
		path: '/resumable/x', sequence: ['brokenStream', 'unsigned'], status: 200, arrivals: 2, text: /\(broken\)$/v,
	},
];

for (const {
	path, sequence, status, arrivals, text,
} of cases) {
	test(`${path} is answered ${status} after ${arrivals} arrivals when endpoints answer ${sequence.join(', ')}`, async t => {
		const platform = await startPlatform(t, sequence);
		await platform.open();
		const answer = await platform.call(path);
		t.equal(answer.status, status);
		t.equal(platform.arrived.length, arrivals);
		if (text !== undefined) {
			t.match(answer.text, text);
		}

		const isFromEndpoint = [200, 500].includes(status);
		t.equal(answer.headers['x-response-seal'] !== undefined, isFromEndpoint, 'only answers of an endpoint carry a seal');
		t.equal(answer.headers['retry-after'] !== undefined, status === 503);
	});
}

test('a resumed stream sends the id of its last complete event', async t => {
	const platform = await startPlatform(t, ['brokenStream', 'stream']);
	await platform.open();
	await platform.call('/resumable/x');
	t.same(platform.arrived.map(({headers}) => headers.get('last-event-id')), [undefined, '1']);
});

// The cases above cover 3xx and 4xx answers that lack the endpoint's seal or the id of the request: they may come from another
// process at the address, so they are not forwarded. A sealed rejection is.
test('a rejection with the seal of the endpoint is forwarded unchanged', async t => {
	const platform = await startPlatform(t, ['rejected']);
	await platform.open();
	const answer = await platform.call('/unsafe/x');
	t.equal(answer.status, 404);
	t.equal(answer.text, 'nothing of that name');
	t.equal(answer.headers['x-response-seal'], 'seal');
	t.equal(platform.arrived.length, 1);
});

// Guards against a caller's stream that stays open forever when the endpoint that should resume it answers with another kind of
// response, whose head can't be sent any more.
for (const second of ['whole', 'rejected'] as const) {
	test(`a stream breaks off at once when the endpoint that should resume it answers with no stream: ${second}`, async t => {
		const platform = await startPlatform(t, ['brokenStream', second]);
		await platform.open();
		const text = await Promise.race([
			(async () => (await platform.call('/resumable/x')).text)(),
			delay(5000, 'still open', {ref: false}),
		]);
		t.match(text, /^id: 0\n[\s\S]*\(broken\)$/v);
		t.equal(platform.arrived.length, 2);
		const page = await fetch(`http://${platform.addresses.ready}/metrics`);
		t.match(await page.text(), /gateway_ended_total\{[^\}]*outcome="broken-off"[^\}]*\} 1/v, 'counted as broken off, not as answered');
	});
}

test('a stream resumes at a third endpoint when the second answers with no stream', async t => {
	const platform = await startPlatform(t);
	const third = await startFakeEndpoint();
	t.teardown(third.close);
	await platform.open();
	platform.store.registerEndpoint('i-2', {
		pool: 'register', address: third.address, slots: 4, state: 'ready',
	});
	platform.store.publish({
		...platform.configuration,
		version: 2,
		routes: platform.configuration.routes.map(route => ({...route, 'max-attempts': 3})),
		limits: {},
	});
	const sequence = [behaviours.brokenStream, behaviours.whole, behaviours.stream];
	const arrived: ArrivedRequest[] = [];
	for (const endpoint of [...platform.endpoints, third]) {
		endpoint.setBehaviour((request, socket) => {
			arrived.push(request);
			sequence[arrived.length - 1]?.(request, socket);
		});
	}

	await waitUntil(async () => (await platform.call('/empty/x', {headers: {'x-long': 'x'.repeat(3000)}})).text.includes('ERR_VALVESADDLE_NO_ENDPOINT'));
	const text = await Promise.race([
		(async () => (await platform.call('/resumable/x')).text)(),
		delay(5000, 'still open', {ref: false}),
	]);
	t.match(text, allEvents);
	t.same(arrived.map(({lastEventId}) => lastEventId), [-1, 1, 1]);
});
