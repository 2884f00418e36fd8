import {test, type Test} from 'tap';
import {behaviours} from '@valvesaddle/fake-endpoint';
import {startPlatform} from './start-platform.ts';

const calls = 20;

type Platform = Awaited<ReturnType<typeof startPlatform>>;

/**
Starts a platform whose first endpoint has the given behaviour, while the second one serves normally.
*/
async function startPlatformWith(t: Test, behaviour: keyof typeof behaviours): Promise<Platform> {
	const platform = await startPlatform(t);
	await platform.open();
	platform.endpoints[0]?.setBehaviour(behaviours[behaviour]);
	return platform;
}

function countArrivals({endpoints}: Platform): readonly number[] {
	return endpoints.map(endpoint => endpoint.arrived().length);
}

/**
Calls until the first endpoint has received a request; returns the number that it received.
*/
async function callUntilNotice(platform: Platform): Promise<number> {
	for (let call = 0; call < calls && countArrivals(platform)[0] === 0; call++) {
		// eslint-disable-next-line no-await-in-loop -- one after the other
		await platform.call('/safe/x');
	}

	return countArrivals(platform)[0] ?? 0;
}

async function callOften(platform: Platform): Promise<readonly number[]> {
	const statuses: number[] = [];
	for (let call = 0; call < calls; call++) {
		// eslint-disable-next-line no-await-in-loop -- one after the other
		const {status} = await platform.call(call % 2 === 0 ? '/safe/x' : '/unsafe/x');
		statuses.push(status);
	}

	return statuses;
}

test('an endpoint that sent Retry-After gets no requests during its cooldown', async t => {
	const platform = await startPlatformWith(t, 'overloaded');
	const before = await callUntilNotice(platform);
	t.equal(before, 1);
	t.same(await callOften(platform), Array.from({length: calls}, () => 200));
	t.equal(countArrivals(platform)[0], before);
});

test('a cooldown survives a new entry, a new configuration and the loss of the store', async t => {
	const platform = await startPlatformWith(t, 'overloaded');
	const before = await callUntilNotice(platform);
	platform.store.registerEndpoint('i-0', {
		pool: 'register', address: platform.endpoints[0]?.address ?? '', slots: 5, state: 'ready',
	});
	platform.store.publish({...platform.configuration, version: 2});
	await callOften(platform);
	platform.store.setFault('silent');
	await callOften(platform);
	t.equal(countArrivals(platform)[0], before);
});

test('callers are refused at once with Retry-After while all endpoints are in their cooldown', async t => {
	const platform = await startPlatform(t, ['overloaded']);
	await platform.open();
	await platform.call('/safe/x');
	t.same(countArrivals(platform), [1, 1]);
	for (const path of ['/safe/x', '/unsafe/x', '/stream/x', '/resumable/x']) {
		// eslint-disable-next-line no-await-in-loop -- one after the other
		const answer = await platform.call(path);
		t.equal(answer.status, 503);
		t.match(answer.text, /"ran":"no"/v);
		const seconds = Number(answer.headers['retry-after']);
		t.ok(seconds > 100 && seconds <= 201, `${seconds}`);
	}

	t.same(countArrivals(platform), [1, 1]);
});

test('an endpoint that signals in an answer that it is draining gets no further requests', async t => {
	const platform = await startPlatformWith(t, 'leaving');
	const before = await callUntilNotice(platform);
	t.equal(before, 1);
	t.same(await callOften(platform), Array.from({length: calls}, () => 200));
	t.equal(countArrivals(platform)[0], before);
});

test('a draining endpoint gets no requests when its entry is written again or the store is lost', async t => {
	const platform = await startPlatformWith(t, 'leaving');
	const before = await callUntilNotice(platform);
	platform.endpoints[0]?.setBehaviour(behaviours.whole);
	platform.store.registerEndpoint('i-0', {
		pool: 'register', address: platform.endpoints[0]?.address ?? '', slots: 5, state: 'ready',
	});
	await callOften(platform);
	platform.store.setFault('silent');
	await callOften(platform);
	t.equal(countArrivals(platform)[0], before);
});

test('an answer to another request does not mark an endpoint as draining', async t => {
	const platform = await startPlatform(t, ['leavingOther', 'whole']);
	await platform.open();
	t.same(await callOften(platform), Array.from({length: calls}, () => 200));
	t.ok(countArrivals(platform).every(count => count > 1));
});
