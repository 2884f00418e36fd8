import {test} from 'tap';
import {startFakeDutyApi} from '@valvesaddle/fake-duty-api';
import {waitUntil} from '@valvesaddle/fake-fleet';
import {startPlatform} from './start-platform.ts';

function formatDuties(address: string): string {
	return `
		[duties]
		address = "${address}"
		offered = ["usage_report", "autoscale"]
		timeout_ms = 10000
		lease_ms = 60000
		window_s = 0.5
		settle_ms = 1
	`;
}

const limits = {
	'min-replicas': 1, 'max-replicas': 4, 'boot-timeout-s': 4, 'spot-price': 0.2, 'zone-prices': {a: 1},
};

test('the holder of the duties reports each request once, and orders replicas within the limits', async t => {
	const api = await startFakeDutyApi();
	t.teardown(api.close);
	const platform = await startPlatform(t, ['whole'], formatDuties(api.address));
	await platform.open();
	platform.store.publish({...platform.configuration, version: 2, services: [{name: 'register', scaling: limits}, {name: 'nobody', scaling: {'min-replicas': 3, 'max-replicas': 1}}]});
	for (let request = 0; request < 3; request++) {
		// eslint-disable-next-line no-await-in-loop -- one after the other
		t.equal((await platform.call('/safe/x')).status, 200);
	}

	const countReported = (): number => api.calls().filter(({path}) => path === '/usage').map(({body}) => Number((body.counts as Record<string, unknown>).sawmill ?? 0)).reduce((sum, count) => sum + count, 0);
	await waitUntil(() => countReported() >= 3);
	t.equal(countReported(), 3);
	await waitUntil(() => api.calls().some(({path}) => path === '/scale'));
	const orders = api.calls().filter(({path}) => path === '/scale');
	t.ok(orders.every(({body}) => body.service === 'register' && Number(body['desired-count']) <= 4), 'none for a service with invalid limits');
	t.ok(api.calls().every(({holder, token}) => holder === 'n1' && token > 0));
});

test('a node that drains releases the duties', async t => {
	const api = await startFakeDutyApi();
	t.teardown(api.close);
	const platform = await startPlatform(t, ['whole'], formatDuties(api.address));
	await platform.open();
	await waitUntil(() => platform.store.keys().includes('gateway/duties/holder'));
	await platform.gateway.drain();
	t.notOk(platform.store.keys().includes('gateway/duties/holder'));
});

test('a node without a [duties] table acquires no duties', async t => {
	const platform = await startPlatform(t);
	await platform.open();
	t.equal((await platform.call('/safe/x')).status, 200);
	t.notOk(platform.store.keys().some(key => key.startsWith('gateway/duties/')));
});
