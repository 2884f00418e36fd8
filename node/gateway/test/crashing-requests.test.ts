import {test} from 'tap';
import {waitUntil} from '@valvesaddle/fake-fleet';
import {startCrashingPool} from './start-crashing-pool.ts';
import {startPlatform} from './start-platform.ts';

/**
Endpoints that may end under one request until it is refused.
*/
const allowedCrashes = 3;
const repeats = 8;

async function hasQuarantined(address: string): Promise<boolean> {
	const page = await fetch(`http://${address}/metrics`);
	return (await page.text()).includes('quarantined_requests');
}

// Guards against repeats that end one endpoint after another.
test('a request reaches no endpoint after it crashed three', async t => {
	for (const path of ['/safe/crash', '/unsafe/crash', '/stream/crash', '/resumable/crash']) {
		// eslint-disable-next-line no-await-in-loop -- one after the other
		const pool = await startCrashingPool(t);
		const statuses: number[] = [];
		for (let repeat = 0; repeat < repeats; repeat++) {
			// eslint-disable-next-line no-await-in-loop -- one after the other
			statuses.push((await pool.call(path, {body: 'a felling ticket'})).status);
			// eslint-disable-next-line no-await-in-loop -- one after the other
			await pool.replaceEnded();
		}

		t.equal(pool.countCrashes(), allowedCrashes, path);
		t.equal(statuses.at(-1), 503);
		// eslint-disable-next-line no-await-in-loop -- one after the other
		t.equal((await pool.call('/safe/x')).status, 200, 'other requests are served');
	}
});

// Guards against nodes that count only the crashes that they have seen themselves.
test('a request that crashed three endpoints through three nodes is refused by every node', async t => {
	const pool = await startCrashingPool(t);
	const nodes = [pool, await pool.startNode('n2'), await pool.startNode('n3')];
	const calls = nodes.map(({call}) => call);
	await Promise.all(nodes.map(async ({isReady}) => waitUntil(isReady)));
	await Promise.all(calls.map(async call => pool.waitForEndpoints(call)));
	for (const call of calls) {
		// eslint-disable-next-line no-await-in-loop -- one after the other
		await call('/unsafe/crash');
		// eslint-disable-next-line no-await-in-loop -- one after the other
		await pool.replaceEnded(calls);
	}

	t.equal(pool.countCrashes(), allowedCrashes);
	await Promise.all(nodes.map(async ({addresses}) => waitUntil(async () => hasQuarantined(addresses.ready))));
	const statuses = await Promise.all(calls.map(async call => (await call('/unsafe/crash')).status));
	t.same(statuses, [503, 503, 503]);
	t.equal(pool.countCrashes(), allowedCrashes);
});

test('a node that starts after the third crash refuses the request too', async t => {
	const pool = await startCrashingPool(t);
	for (let crash = 0; crash < allowedCrashes; crash++) {
		// eslint-disable-next-line no-await-in-loop -- one after the other
		await pool.call('/unsafe/crash');
		// eslint-disable-next-line no-await-in-loop -- one after the other
		await pool.replaceEnded();
	}

	const late = await pool.startNode('n2');
	await waitUntil(async () => hasQuarantined(late.addresses.ready));
	t.equal((await late.call('/unsafe/crash')).status, 503);
	t.equal(pool.countCrashes(), allowedCrashes);
});

test('a quarantined request is refused as not run, with a time to come back', async t => {
	const pool = await startCrashingPool(t);
	for (let crash = 0; crash < allowedCrashes; crash++) {
		// eslint-disable-next-line no-await-in-loop -- one after the other
		await pool.call('/unsafe/crash');
		// eslint-disable-next-line no-await-in-loop -- one after the other
		await pool.replaceEnded();
	}

	const {status, headers, text} = await pool.call('/unsafe/crash');
	t.equal(status, 503);
	t.match(text, /"code":"ERR_VALVESADDLE_REQUEST_QUARANTINED"/v);
	t.match(text, /"ran":"no"/v);
	t.ok(Number(headers['retry-after']) >= 30);
	t.equal((await pool.call('/unsafe/crash', {body: 'another ticket'})).status, 502, 'another body is another request');
});

test('requests that ran beside a crashing one are served again at once, popular ones too', async t => {
	const pool = await startCrashingPool(t);
	for (let crash = 0; crash < allowedCrashes; crash++) {
		const beside = Array.from({length: 8}, async () => pool.call('/safe/slow/popular'));
		// eslint-disable-next-line no-await-in-loop -- one after the other
		await waitUntil(() => pool.listOpen().flatMap(endpoint => endpoint.arrived()).filter(({line}) => line.includes('slow')).length >= 8);
		// eslint-disable-next-line no-await-in-loop -- one after the other
		await pool.call('/unsafe/crash');
		for (const endpoint of pool.listOpen()) {
			endpoint.answerOpen('whole');
		}

		// eslint-disable-next-line no-await-in-loop -- one after the other
		await pool.replaceEnded();
		for (const endpoint of pool.listOpen()) {
			endpoint.answerOpen('whole');
		}

		// eslint-disable-next-line no-await-in-loop -- one after the other
		t.same((await Promise.all(beside)).map(({status}) => status), Array.from({length: 8}, () => 200));
	}

	t.equal(pool.countCrashes(), allowedCrashes);
});

test('connections that are reset quarantine nothing while their endpoints live', async t => {
	const platform = await startPlatform(t, ['reset']);
	await platform.open();
	const statuses: number[] = [];
	for (let call = 0; call < repeats; call++) {
		// eslint-disable-next-line no-await-in-loop -- one after the other
		statuses.push((await platform.call('/unsafe/x')).status);
	}

	t.same(statuses, Array.from({length: repeats}, () => 502));
	t.equal(platform.arrived.length, repeats);
});
