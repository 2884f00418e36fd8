import {test, type Test} from 'tap';
import {behaviours} from '@valvesaddle/fake-endpoint';
import {startPlatform} from './start-platform.ts';

const calls = 20;

type Platform = Awaited<ReturnType<typeof startPlatform>>;

/**
A platform whose first endpoint behaves in another way than its second, which serves.
*/
async function startUneven(t: Test, behaviour: keyof typeof behaviours): Promise<Platform> {
	const platform = await startPlatform(t);
	await platform.open();
	platform.endpoints[0]?.setBehaviour(behaviours[behaviour]);
	return platform;
}

function countArrivals({endpoints}: Platform): readonly number[] {
	return endpoints.map(endpoint => endpoint.arrived().length);
}

/**
Calls until the first endpoint has been asked, and returns what it had got by then.
*/
async function callUntilNoticed(platform: Platform): Promise<number> {
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

test('an endpoint that asked for a pause gets no requests until it is over', async t => {
	const platform = await startUneven(t, 'overloaded');
	const before = await callUntilNoticed(platform);
	t.equal(before, 1);
	t.same(await callOften(platform), Array.from({length: calls}, () => 200));
	t.equal(countArrivals(platform)[0], before);
});

test('an endpoint that says in an answer that it leaves gets no further requests', async t => {
	const platform = await startUneven(t, 'leaving');
	const before = await callUntilNoticed(platform);
	t.equal(before, 1);
	t.same(await callOften(platform), Array.from({length: calls}, () => 200));
	t.equal(countArrivals(platform)[0], before);
});
