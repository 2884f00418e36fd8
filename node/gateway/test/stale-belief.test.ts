import {test} from 'tap';
import {waitUntil} from '@valvesaddle/fake-fleet';
import {createMetrics} from '@valvesaddle/metrics';
import {createPeerNetwork} from '@valvesaddle/network';
import {startPlatform} from './start-platform.ts';

type Platform = Awaited<ReturnType<typeof startPlatform>>;

/**
Writes a version that has one more route and one more key, and allows twice the headers and bodies.
*/
function publishNewer({store, configuration}: Platform): void {
	const [first] = configuration.routes;
	store.put('op/config', {
		...configuration,
		version: 5,
		routes: [{...first, prefix: '/new/'}, ...configuration.routes],
		limits: {'max-header-bytes': 4000, 'max-body-bytes': 2000},
		tenants: [{name: 'sawmill', 'api-keys': ['key', 'new key']}],
	});
}

/**
Turns the node away from the store, and waits until its open watch has ended too.
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
	test(`a node that the store turns away does not deny ${what} that a newer configuration may allow`, async t => {
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
		t.equal((await platform.call('/safe/x')).status, 200, 'what it knows it serves on');
		platform.store.setFault(undefined);
		await waitUntil(async () => (await platform.call(path, options)).status === 200);
		// In calm it denies what no configuration allows.
		await waitUntil(async () => (await platform.call('/never/x')).status === 404);
	});
}

test('a node that knows a peer to be ahead denies nothing until it has caught up, however fresh that peer is', async t => {
	const platform = await startPlatform(t);
	await platform.open();
	let asked = 0;
	const peer = createPeerNetwork({
		node: 'z1', host: '127.0.0.1', port: 0, token: 'secret', findAddress: () => undefined, linkTimeoutMs: 10_000, isCompressed: false, metrics: createMetrics(),
	});
	const ignore = (): undefined => undefined;
	const address = await peer.listen({
		'load.news': ignore,
		'cluster.heartbeat': ignore,
		'cluster.changes': ignore,
		// Its state is on the way for as long as the test lasts.
		async 'cluster.state'() {
			asked++;
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
	await waitUntil(() => asked > 0);
	await loseStore(platform);
	publishNewer(platform);
	await waitUntil(async () => (await platform.call('/new/x')).status === 503);
	t.equal((await platform.call('/safe/x', {key: 'new key'})).status, 503);
	t.equal((await platform.call('/safe/x')).status, 200);
});

test('a newer configuration that cannot be read denies nobody, for what it allows is not known', async t => {
	const platform = await startPlatform(t);
	await platform.open();
	const [first] = platform.configuration.routes;
	platform.store.put('op/config', {
		...platform.configuration, version: 5, routes: [{...first, prefix: '/new/'}, {...first, prefix: '/odd/', priority: null}, ...platform.configuration.routes],
	});
	await waitUntil(async () => {
		const page = await fetch(`http://${platform.addresses.ready}/metrics`);
		return (await page.text()).includes('entries_unreadable');
	});
	t.equal((await platform.call('/new/x')).status, 503);
	t.equal((await platform.call('/safe/x')).status, 200);
});
