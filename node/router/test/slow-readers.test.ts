/*
Guards against a graceful shutdown that cuts answers which were written but have not been sent.
*/
import {Buffer} from 'node:buffer';
import {connect} from 'node:net';
import {text} from 'node:stream/consumers';
import {test} from 'tap';
import {fleetKeys, startFleet, waitUntil} from '@valvesaddle/fake-fleet';
import {parseAddress} from '@valvesaddle/http-server';
import {startFakeServer} from '@valvesaddle/fake-http';

const replyBytes = 6 * 1024 * 1024;

test('a caller that reads slowly receives its whole answer from a node that leaves', async t => {
	let calls = 0;
	const service = await startFakeServer({
		handle(_request, response) {
			calls++;
			response.end(Buffer.alloc(replyBytes, 'x'));
		},
	});
	const fleet = await startFleet({
		nodes: 1, engines: [{}],
		configure: configuration => ({
			...configuration,
			endpoints: configuration.endpoints.map(endpoint => endpoint.pool === 'permits' ? {...endpoint, url: service.url} : endpoint),
		}),
	});
	t.teardown(async () => {
		await fleet.close();
		await service.close();
	});
	const {callers, router} = fleet.nodes[0]!;
	const socket = connect(parseAddress(callers));
	socket.write(`GET /v1/services/permits/loads HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${fleetKeys.caller}\r\nidempotency-key: slow-1\r\n\r\n`);
	await waitUntil(() => calls === 1 && router.status().openRequests === 0);
	const drained = router.drain();
	const received = await text(socket);
	t.equal(received.slice(received.indexOf('\r\n\r\n')).split('x').length - 1, replyBytes);
	await drained;
});
