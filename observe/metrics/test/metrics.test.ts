import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import {test} from 'tap';
import {createMetrics} from '@valvesaddle/metrics';

test('counters are sent as StatsD datagrams with the node as a tag, and are summed', async t => {
	const socket = createSocket('udp4');
	socket.bind(0, '127.0.0.1');
	await once(socket, 'listening');
	const metrics = createMetrics({host: '127.0.0.1', port: socket.address().port, node: 'n1'});
	t.teardown(async () => {
		await metrics.close();
		socket.close();
	});
	metrics.increment('requests.accepted', 2, {class: 'gate'});
	metrics.increment('requests.accepted');
	const [bytes] = await once(socket, 'message') as [Uint8Array];
	t.match(String(bytes), /valvesaddle\.requests\.accepted:2\|c\|#.*class:gate/v);
	t.match(String(bytes), 'node:n1');
	t.equal(metrics.total('requests.accepted'), 3);
	t.same(metrics.totals(), {'requests.accepted': 3});
});

test('without a host nothing is sent and counters are still summed', async t => {
	const metrics = createMetrics();
	metrics.increment('a', 5);
	metrics.timing('b', 1);
	metrics.gauge('c', 1);
	t.same(metrics.totals(), {a: 5});
	await metrics.close();
});
