// Guards, at a whole node, against slow callers that keep endpoints from finishing, and against endpoints that get too many large bodies.
import {once} from 'node:events';
import {request as sendRaw, type IncomingMessage} from 'node:http';
import {test} from 'tap';
import {waitUntil} from '@valvesaddle/fake-fleet';
import {startPlatform} from './start-platform.ts';

const bodyBytes = 500;
const events = 120;

/**
Waits until a request has ended for the node, so that no endpoint works on it any more.
*/
async function waitForEnd(address: string): Promise<void> {
	let page = '';
	while (!page.includes('valvesaddle_gateway_ended_total')) {
		// eslint-disable-next-line no-await-in-loop -- polls
		const response = await fetch(`http://${address}/metrics`);
		// eslint-disable-next-line no-await-in-loop -- polls
		page = await response.text();
	}
}

test('an endpoint ends a stream that its caller has not read, and the caller gets all of it later', async t => {
	const {open, addresses} = await startPlatform(t, ['largeStream'], '[buffers]\nmemory_mb = 350\nahead_kb = 10_000');
	await open();
	const call = sendRaw(`http://${addresses.callers}/resumable/x`, {headers: {host: 'permits.example', authorization: 'Bearer key', 'x-attempt-id': 'a1'}});
	call.end();
	const [response] = await once(call, 'response') as [IncomingMessage];
	await waitForEnd(addresses.ready);
	let text = '';
	for await (const chunk of response) {
		text += String(chunk);
	}

	t.equal(text.split('\n\n').length - 1, events);
});

test('large bodies are spread over endpoints, refused as not run when each has its number, and served again after', async t => {
	const {open, call, endpoints, arrived} = await startPlatform(t, ['late', 'late', 'whole'], '[buffers]\nmemory_mb = 350\nlarge_kb = 0.4\nlarge_bodies = 1');
	await open();
	const body = 'x'.repeat(bodyBytes);
	const first = call('/safe/a', {body});
	await waitUntil(() => arrived.length === 1);
	const second = call('/safe/b', {body});
	await waitUntil(() => arrived.length === 2);
	t.same(endpoints.map(endpoint => endpoint.arrived().length), [1, 1]);
	const refused = await call('/safe/c', {body});
	t.equal(refused.status, 503);
	t.match(refused.text, /"ran":"no"/v);
	t.ok(Number(refused.headers['retry-after']) > 0);
	t.equal((await call('/safe/d', {body: 'small'})).status, 200);
	for (const endpoint of endpoints) {
		endpoint.resume();
	}

	t.same((await Promise.all([first, second])).map(({status}) => status), [200, 200]);
	t.equal((await call('/safe/e', {body})).status, 200);
});
