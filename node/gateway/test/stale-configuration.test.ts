import {test} from 'tap';
import {waitUntil} from '@valvesaddle/fake-fleet';
import {createMetrics} from '@valvesaddle/metrics';
import {createPeerNetwork} from '@valvesaddle/network';
import {startPlatform} from './start-platform.ts';

type Platform = Awaited<ReturnType<typeof startPlatform>>;

/**
Writes a version with an additional route and key, and twice the limits for headers and bodies.
*/
function publishNewer({store, configuration}: Platform): void {
	const [first] = configuration.routes;
	store.publish({
		...configuration,
		version: 5,
		routes: [{...first, prefix: '/new/'}, ...configuration.routes],
		limits: {'max-header-bytes': 4000, 'max-body-bytes': 2000},
		tenants: [{name: 'sawmill', 'api-keys': ['key', 'new key']}],
	});
}

/**
Makes the store refuse the node, and waits until its open watch has ended too.
*/
async function loseStore({store, addresses}: Platform): Promise<void> {
	store.setFault('refuse');
	store.put('elsewhere', 1);
	await waitUntil(async () => {
		const page = await fetch(`http://${addresses.ready}/metrics`);
		return (await page.text()).includes('gateway_store_failures');
	});
}

const newerOnly: ReadonlyArray<readonly [what: string, path: string, options: Parameters<Platform['call']>[1]]> = [
	['a route', '/new/x', {}],
	['a key', '/safe/x', {key: 'new key'}],
	['longer headers', '/safe/x', {headers: {'x-long': 'x'.repeat(3000)}}],
	['a longer body', '/safe/x', {body: 'x'.repeat(1001)}],
];

for (const [what, path, options] of newerOnly) {
	test(`a node that the store refuses does not reject ${what} that a newer configuration may allow`, async t => {
		const platform = await startPlatform(t);
		await platform.open();
		await loseStore(platform);
		publishNewer(platform);
		let answer = await platform.call(path, options);
		await waitUntil(async () => {
			answer = await platform.call(path, options);
			return answer.status === 503;
		});
		t.ok(Number(answer.headers['retry-after']) > 0);
		t.equal((await platform.call('/safe/x')).status, 200, 'requests that its own configuration allows are still served');
		platform.store.setFault(undefined);
		await waitUntil(async () => (await platform.call(path, options)).status === 200);
		// Once it is up to date, it rejects requests that no configuration allows.
		await waitUntil(async () => (await platform.call('/never/x')).status === 404);
	});
}

test('a node with a peer ahead of it rejects nothing until it has caught up', async t => {
	const platform = await startPlatform(t);
	await platform.open();
	let stateCalls = 0;
	const peer = createPeerNetwork({
		node: 'z1', host: '127.0.0.1', port: 0, token: 'secret', findAddress: () => undefined, linkTimeoutMs: 10_000, isCompressed: false, metrics: createMetrics(),
	});
	const ignore = (): undefined => undefined;
	const address = await peer.listen({
		'load.news': ignore,
		'cluster.heartbeat': ignore,
		'cluster.changes': ignore,
		// Leaves the call unanswered during the test.
		async 'cluster.state'() {
			stateCalls++;
			return new Promise(ignore);
		},
	});
	const timer = setInterval(() => {
		peer.broadcast('cluster.heartbeat', {revision: 1_000_000, version: 5, confirmedAgoMs: 0});
	}, 50);
	t.teardown(async () => {
		clearInterval(timer);
		await peer.close();
	});
	platform.store.put('gateway/nodes/z1', {
		id: 'z1', address, token: 'secret', dataCentre: 'a', capacity: 1,
	});
	await waitUntil(() => stateCalls > 0);
	await loseStore(platform);
	publishNewer(platform);
	await waitUntil(async () => (await platform.call('/new/x')).status === 503);
	t.equal((await platform.call('/safe/x', {key: 'new key'})).status, 503);
	t.equal((await platform.call('/safe/x')).status, 200);
});

test('a node with an unreadable newer configuration rejects no request that it may allow', async t => {
	const platform = await startPlatform(t);
	await platform.open();
	const [first] = platform.configuration.routes;
	platform.store.publish({
		...platform.configuration, version: 5, routes: [{...first, prefix: '/new/'}, {...first, prefix: '/odd/', priority: null}, ...platform.configuration.routes],
	});
	await waitUntil(async () => {
		const page = await fetch(`http://${platform.addresses.ready}/metrics`);
		return (await page.text()).includes('entries_unreadable');
	});
	t.equal((await platform.call('/new/x')).status, 503);
	t.equal((await platform.call('/safe/x')).status, 200);
});
