import {test} from 'tap';
import {waitUntil} from '@valvesaddle/fake-fleet';
import {startCrashingPool} from './start-crashing-pool.ts';

/**
Endpoints that may end under one request until it is refused.
*/
const allowedCrashes = 3;
const repeats = 8;

// Repeats of a request that crashes every endpoint used to reach one endpoint after another.
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

// Each node used to know only of the crashes that it had seen itself.
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
	const statuses = await Promise.all(calls.map(async call => (await call('/unsafe/crash')).status));
	t.same(statuses, [503, 503, 503]);
	t.equal(pool.countCrashes(), allowedCrashes);
});
