// Guards against ending an attempt at a sound endpoint when the request cannot go on at another one.
import type {Socket} from 'node:net';
import {test, type Test} from 'tap';
import {
	behaviours,
	formatStreamHead,
	startFakeEndpoint,
	type ArrivedRequest,
	type EndpointBehaviour,
	type FakeEndpoint,
} from '@valvesaddle/fake-endpoint';
import {waitUntil} from '@valvesaddle/fake-fleet';
import {startPlatform} from './start-platform.ts';

type Platform = Awaited<ReturnType<typeof startPlatform>>;

const noRetries = {ratio: 0.1, slack: 0, windowS: 10};
const firstEvent = 'id: 0\ndata: first\n\n';
const lastEvent = 'id: 1\ndata: last\n\n';

function formatChunk(text: string): string {
	return `${text.length.toString(16)}\r\n${text}\r\n`;
}

/**
Starts a stream and keeps its connection, for the test to go on with.
*/
function createPausingBehaviour(paused: Socket[]): EndpointBehaviour {
	return (request, socket) => {
		paused.push(socket);
		socket.write(formatStreamHead(request) + formatChunk(firstEvent));
	};
}

/**
Counts the requests that have ended, and the attempts that were kept although they were overdue.
*/
async function countDecisions({addresses}: Platform): Promise<number> {
	const page = await fetch(`http://${addresses.ready}/metrics`);
	const rows = (await page.text()).split('\n').filter(line => /^valvesaddle_gateway_(?:ended|kept_attempts)_total\{/v.test(line));
	return rows.reduce((sum, row) => sum + Number(row.split(' ').at(-1)), 0);
}

/**
Waits until the node has decided about an overdue attempt: it keeps it, or has ended it.
*/
async function waitForDecision(platform: Platform, before: number): Promise<void> {
	await waitUntil(async () => await countDecisions(platform) > before);
}

/**
Sets the latency objective of all routes, and waits until a request is allowed by the new limits.
*/
async function setLatencyObjective({store, configuration, call}: Platform, objectiveMs: number): Promise<void> {
	store.publish({
		...configuration,
		version: 2,
		routes: configuration.routes.map(route => ({...route, 'target-latency-ms': objectiveMs})),
		limits: {},
	});
	await waitUntil(async () => (await call('/empty/x', {headers: {'x-long': 'x'.repeat(3000)}})).text.includes('ERR_VALVESADDLE_NO_ENDPOINT'));
}

test('a stream whose endpoint pauses is not broken off when the retry budget is spent', async t => {
	const platform = await startPlatform(t, ['silent'], '', noRetries);
	await platform.open();
	const paused: Socket[] = [];
	for (const endpoint of platform.endpoints) {
		endpoint.setBehaviour(createPausingBehaviour(paused));
	}

	const before = await countDecisions(platform);
	const answer = platform.call('/resumable/x');
	await waitForDecision(platform, before);
	t.equal(paused.length, 1);
	paused[0]?.write(`${formatChunk(lastEvent)}0\r\n\r\n`);
	t.equal((await answer).text, firstEvent + lastEvent);
});

test('a request that waits for its first byte is not refused when the retry budget is spent', async t => {
	const platform = await startPlatform(t, ['silent'], '', noRetries);
	await platform.open();
	await setLatencyObjective(platform, 100);
	const before = await countDecisions(platform);
	const answer = platform.call('/safe/x');
	await waitUntil(() => platform.arrived.length === 1);
	await waitForDecision(platform, before);
	for (const endpoint of platform.endpoints) {
		endpoint.answerOpen('whole');
	}

	t.equal((await answer).status, 200);
});

async function addEndpoints(t: Test, {store}: Platform, count: number): Promise<readonly FakeEndpoint[]> {
	const added = await Promise.all(Array.from({length: count}, async () => startFakeEndpoint()));
	for (const [index, endpoint] of added.entries()) {
		t.teardown(endpoint.close);
		store.registerEndpoint(`i-more-${index}`, {
			pool: 'register', address: endpoint.address, slots: 4, state: 'ready',
		});
	}

	return added;
}

test('a request that waits at the last endpoint that it may try is not refused', async t => {
	const platform = await startPlatform(t);
	const added = await addEndpoints(t, platform, 4);
	await platform.open();
	await setLatencyObjective(platform, 100);
	const endpoints = [...platform.endpoints, ...added];
	const arrived: ArrivedRequest[] = [];
	const refuseFourTimes: EndpointBehaviour = (request, socket) => {
		arrived.push(request);
		behaviours[arrived.length < 5 ? 'notRun' : 'silent'](request, socket);
	};

	for (const endpoint of endpoints) {
		endpoint.setBehaviour(refuseFourTimes);
	}

	const before = await countDecisions(platform);
	const answer = platform.call('/safe/x');
	await waitUntil(() => arrived.length === 5);
	await waitForDecision(platform, before);
	for (const endpoint of endpoints) {
		endpoint.answerOpen('whole');
	}

	t.equal((await answer).status, 200);
});
