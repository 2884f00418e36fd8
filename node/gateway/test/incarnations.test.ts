import {test, type Test} from 'tap';
import {waitUntil} from '@valvesaddle/fake-fleet';
import {startPlatform} from './start-platform.ts';

const minuteMs = 60_000;

async function openPlatform(t: Test, sequence: Parameters<typeof startPlatform>[1]) {
	const platform = await startPlatform(t, sequence);
	/**
	Writes an entry of a process that started at `born` and listens at the address of the endpoint with that index.
	*/
	function register(id: string, index: number, born: number): void {
		platform.store.registerEndpoint(id, {
			pool: 'register', address: platform.endpoints[index]?.address ?? '', slots: 4, state: 'ready', born,
		});
	}

	return {...platform, register};
}

async function countMetric(platform: Awaited<ReturnType<typeof startPlatform>>, name: string): Promise<number> {
	const response = await fetch(`http://${platform.addresses.ready}/metrics`);
	const text = await response.text();
	return Number(new RegExp(String.raw`^\S*${name}\S* (\d+)`, 'mv').exec(text)?.[1] ?? 0);
}

for (const [path, secondBehaviour] of [['/safe/x', 'whole'], ['/resumable/x', 'stream']] as const) {
	test(`${path} is retried elsewhere when the process that it was sent to was replaced, though its connection stays open`, async t => {
		const platform = await openPlatform(t, ['silent', secondBehaviour]);
		await platform.open();
		platform.store.remove('servers/i-1');
		platform.register('i-0', 0, Date.now() - minuteMs);
		await waitUntil(async () => await countMetric(platform, 'endpoint_incarnations') === 1);
		const answered = platform.call(path);
		await waitUntil(() => platform.arrived.length === 1);
		platform.register('i-0', 1, Date.now() + minuteMs);
		t.equal((await answered).status, 200);
		t.same(platform.endpoints.map(endpoint => endpoint.arrived().length), [1, 1]);
	});
}

for (const path of ['/unsafe/x', '/stream/x']) {
	test(`${path} is not retried when the process that it was sent to is replaced`, async t => {
		const platform = await openPlatform(t, ['silent', 'whole']);
		await platform.open();
		platform.store.remove('servers/i-1');
		platform.register('i-0', 0, Date.now() - minuteMs);
		await waitUntil(async () => await countMetric(platform, 'endpoint_incarnations') === 1);
		const answered = platform.call(path);
		await waitUntil(() => platform.arrived.length === 1);
		platform.register('i-0', 1, Date.now() + minuteMs);
		await waitUntil(async () => await countMetric(platform, 'endpoint_incarnations') === 2);
		platform.endpoints[0]?.answerOpen('reset');
		t.equal((await answered).status, 502);
		t.equal(platform.arrived.length, 1);
		t.equal((await platform.call('/safe/x')).status, 200, 'the new process gets new requests');
		t.equal(platform.endpoints[1]?.arrived().length, 1);
	});
}

test('a late entry of the previous process attracts no requests', async t => {
	const platform = await openPlatform(t, ['whole']);
	await platform.open();
	platform.store.remove('servers/i-1');
	const startedAt = Date.now();
	platform.register('i-0', 1, startedAt);
	platform.register('i-0', 0, startedAt - minuteMs);
	await waitUntil(async () => await countMetric(platform, 'endpoints_outdated') === 1);
	t.equal((await platform.call('/safe/x')).status, 200);
	t.equal(platform.endpoints[1]?.arrived().length, 1);
});

const invalidEntries: ReadonlyArray<readonly [what: string, write: (platform: Awaited<ReturnType<typeof openPlatform>>) => void]> = [
	['of invalid bytes', ({store}) => {
		store.putBytes('servers/i-1', '*');
	}],
	['of another schema', ({store}) => {
		store.put('servers/i-1', {service: 'register'});
	}],
	['of an unknown service', ({store, endpoints}) => {
		store.registerEndpoint('i-1', {
			pool: 'unknown', address: endpoints[1]?.address ?? '', slots: 4, state: 'ready',
		});
	}],
];

for (const [what, write] of invalidEntries) {
	test(`an endpoint with an entry ${what} gets no requests until its next valid entry, and other entries stay valid`, async t => {
		const platform = await openPlatform(t, ['whole']);
		await platform.open();
		write(platform);
		platform.store.registerEndpoint('i-0', {
			pool: 'register', address: platform.endpoints[0]?.address ?? '', slots: 4, state: 'draining',
		});
		await waitUntil(async () => (await platform.call('/safe/x')).status === 503);
		const before = platform.arrived.length;
		t.equal((await platform.call('/safe/x')).status, 503);
		t.equal(platform.arrived.length, before);
		platform.register('i-0', 0, Date.now());
		await waitUntil(async () => (await platform.call('/safe/x')).status === 200);
		platform.store.registerEndpoint('i-1', {
			pool: 'register', address: platform.endpoints[1]?.address ?? '', slots: 4, state: 'ready',
		});
		await waitUntil(async () => {
			await platform.call('/safe/x');
			return (platform.endpoints[1]?.arrived().length ?? 0) > before;
		});
		t.equal((await platform.call('/safe/x')).status, 200);
	});
}
