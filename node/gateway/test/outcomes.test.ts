import {setTimeout as delay} from 'node:timers/promises';
import {test} from 'tap';
import {behaviours, startFakeEndpoint, type ArrivedRequest} from '@valvesaddle/fake-endpoint';
import {waitUntil} from '@valvesaddle/fake-fleet';
import {startPlatform} from './start-platform.ts';

type Case = {
	readonly path: string;
	readonly turns: ReadonlyArray<keyof typeof behaviours>;
	readonly status: number;
	readonly arrivals: number;
	readonly text?: RegExp;
};

const allEvents = /^id: 0\ndata: piece 0\n\nid: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\n$/v;

const cases: readonly Case[] = [
	{
		path: '/safe/x', turns: ['whole'], status: 200, arrivals: 1, text: /^body of GET \/safe\/x HTTP\/1\.1$/v,
	},
	{
		path: '/safe/x', turns: ['reset', 'whole'], status: 200, arrivals: 2,
	},
	{
		path: '/safe/x', turns: ['failed', 'whole'], status: 200, arrivals: 2,
	},
	{
		path: '/safe/x', turns: ['failed'], status: 500, arrivals: 2, text: /^failed$/v,
	},
	{
		path: '/safe/x', turns: ['unsigned', 'whole'], status: 200, arrivals: 2,
	},
	{
		path: '/safe/x', turns: ['unsignedRejection', 'whole'], status: 200, arrivals: 2,
	},
	{
		path: '/safe/x', turns: ['unsignedRedirect', 'whole'], status: 200, arrivals: 2,
	},
	{
		path: '/safe/x', turns: ['bareRejection', 'whole'], status: 200, arrivals: 2,
	},
	{
		path: '/safe/x', turns: ['encoded', 'whole'], status: 200, arrivals: 2,
	},
	{
		path: '/safe/x', turns: ['otherRequest', 'whole'], status: 200, arrivals: 2,
	},
	{
		path: '/safe/x', turns: ['truncated', 'whole'], status: 200, arrivals: 2,
	},
	{
		path: '/safe/x', turns: ['unframedReset', 'whole'], status: 200, arrivals: 2,
	},
	{
		path: '/safe/x', turns: ['unframed'], status: 200, arrivals: 1, text: /^whole to the end$/v,
	},
	{
		path: '/safe/x', turns: ['twice'], status: 200, arrivals: 1, text: /^first$/v,
	},
	{
		path: '/unsafe/x', turns: ['reset', 'whole'], status: 502, arrivals: 1,
	},
	{
		path: '/unsafe/x', turns: ['truncated', 'whole'], status: 502, arrivals: 1,
	},
	{
		path: '/unsafe/x', turns: ['unframedReset', 'whole'], status: 502, arrivals: 1,
	},
	{
		path: '/unsafe/x', turns: ['unsigned', 'whole'], status: 502, arrivals: 1,
	},
	{
		path: '/unsafe/x', turns: ['unsignedRejection', 'whole'], status: 502, arrivals: 1,
	},
	{
		path: '/unsafe/x', turns: ['unsignedRedirect', 'whole'], status: 502, arrivals: 1,
	},
	{
		path: '/unsafe/x', turns: ['bareRejection', 'whole'], status: 502, arrivals: 1,
	},
	{
		path: '/unsafe/x', turns: ['otherRequest', 'whole'], status: 502, arrivals: 1,
	},
	{
		path: '/unsafe/x', turns: ['unmarkedRefusal', 'whole'], status: 502, arrivals: 1,
	},
	{
		path: '/unsafe/x', turns: ['failed', 'whole'], status: 500, arrivals: 1, text: /^failed$/v,
	},
	{
		path: '/unsafe/x', turns: ['notRun', 'whole'], status: 200, arrivals: 2,
	},
	{
		path: '/unsafe/x', turns: ['misdirected', 'whole'], status: 200, arrivals: 2,
	},
	{
		path: '/unsafe/x', turns: ['notRun'], status: 503, arrivals: 2, text: /"ran":"no"/v,
	},
	{
		path: '/stream/x', turns: ['stream'], status: 200, arrivals: 1, text: allEvents,
	},
	{
		path: '/stream/x', turns: ['brokenStream', 'stream'], status: 200, arrivals: 1, text: /^id: 0\ndata: piece 0\n\nid: 1\ndata: piece 1\n\n[\s\S]*\(broken\)$/v,
	},
	{
		path: '/stream/x', turns: ['reset', 'stream'], status: 502, arrivals: 1,
	},
	{
		path: '/resumable/x', turns: ['brokenStream', 'stream'], status: 200, arrivals: 2, text: allEvents,
	},
	{
		path: '/resumable/x', turns: ['reset', 'stream'], status: 200, arrivals: 2, text: allEvents,
	},
	{
		path: '/resumable/x', turns: ['brokenStream', 'reset'], status: 200, arrivals: 2, text: /\(broken\)$/v,
	},
	{
		path: '/resumable/x', turns: ['brokenStream', 'unsigned'], status: 200, arrivals: 2, text: /\(broken\)$/v,
	},
];

for (const {
	path, turns, status, arrivals, text,
} of cases) {
	test(`${path} is answered ${status} after ${arrivals} arrivals when endpoints answer ${turns.join(', ')}`, async t => {
		const platform = await startPlatform(t, turns);
		await platform.open();
		const answer = await platform.call(path);
		t.equal(answer.status, status);
		t.equal(platform.arrived.length, arrivals);
		if (text !== undefined) {
			t.match(answer.text, text);
		}

		const isEndpointsOwn = [200, 500].includes(status);
		t.equal(answer.headers['x-response-seal'] !== undefined, isEndpointsOwn, 'only an endpoint vouches for an answer');
		t.equal(answer.headers['retry-after'] !== undefined, status === 503);
	});
}

test('a stream that is taken up elsewhere names its last whole event', async t => {
	const platform = await startPlatform(t, ['brokenStream', 'stream']);
	await platform.open();
	await platform.call('/resumable/x');
	t.same(platform.arrived.map(({headers}) => headers.get('last-event-id')), [undefined, '1']);
});

// Every 3xx and 4xx of an endpoint's address used to be passed on, whether or not it bore the endpoint's signature and the id of
// the request. Another process at the address, or an HTTP server that could not read the bytes, was so believed: callers of safe
// routes were turned away though another endpoint was left, and callers of unsafe ones were told of a rejection where the request
// might have run. The rows above with rejections and redirects show that; one that is vouched for still has to get through.
test('a rejection that an endpoint vouches for is passed on as it is', async t => {
	const platform = await startPlatform(t, ['rejected']);
	await platform.open();
	const answer = await platform.call('/unsafe/x');
	t.equal(answer.status, 404);
	t.equal(answer.text, 'nothing of that name');
	t.equal(answer.headers['x-response-seal'], 'seal');
	t.equal(platform.arrived.length, 1);
});

// A resumable stream broke and was taken up at another endpoint, which answered with something whole: a 200 that is no stream, or
// a rejection. Its head was to be written after that of the stream had gone out. That threw, the exchange swallowed the error, and
// as the task had closed with its timer before, nothing was left to end the caller's stream: it stayed open without end.
for (const second of ['whole', 'rejected'] as const) {
	test(`a stream that is taken up where the answer is no stream ends at once, and not as whole: ${second}`, async t => {
		const platform = await startPlatform(t, ['brokenStream', second]);
		await platform.open();
		const text = await Promise.race([
			(async () => (await platform.call('/resumable/x')).text)(),
			delay(5000, 'still open', {ref: false}),
		]);
		t.match(text, /^id: 0\n[\s\S]*\(broken\)$/v);
		t.equal(platform.arrived.length, 2);
		const page = await fetch(`http://${platform.addresses.ready}/metrics`);
		t.match(await page.text(), /gateway_ended_total\{[^\}]*outcome="broken-off"[^\}]*\} 1/v, 'it counts as broken off, not as answered');
	});
}

test('a stream that is taken up where the answer is no stream goes on at another endpoint if there is one', async t => {
	const platform = await startPlatform(t);
	const third = await startFakeEndpoint();
	t.teardown(third.close);
	await platform.open();
	platform.store.registerEndpoint('i-2', {
		pool: 'register', address: third.address, slots: 4, state: 'ready',
	});
	platform.store.put('op/config', {
		...platform.configuration,
		version: 2,
		routes: platform.configuration.routes.map(route => ({...route, 'max-attempts': 3})),
		limits: {},
	});
	const turns = [behaviours.brokenStream, behaviours.whole, behaviours.stream];
	const arrived: ArrivedRequest[] = [];
	for (const endpoint of [...platform.endpoints, third]) {
		endpoint.setBehaviour((request, socket) => {
			arrived.push(request);
			turns[arrived.length - 1]?.(request, socket);
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
