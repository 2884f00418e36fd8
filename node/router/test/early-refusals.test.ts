/*
Guards against refusals that callers never receive because the connection is closed while they still send the body.
*/
import {Buffer} from 'node:buffer';
import {connect} from 'node:net';
import {test} from 'tap';
import {fleetKeys, startFleet} from '@valvesaddle/fake-fleet';
import {parseAddress} from '@valvesaddle/http-server';

const bodyBytes = 32 * 1024 * 1024;

/**
Sends a whole request before it reads anything, as callers with a blocking client do; returns what it then reads.
*/
async function sendBeforeReading(address: string, key: string): Promise<string> {
	const socket = connect(parseAddress(address));
	const closed = Promise.withResolvers<void>();
	let received = '';
	socket.pause();
	socket.on('error', error => {
		received += error.message;
	});
	socket.once('close', () => {
		closed.resolve();
	});
	socket.on('data', data => {
		received += data.toString();
		if (received.includes('"request_id"')) {
			socket.destroy();
		}
	});
	socket.write(`POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${key}\r\ncontent-length: ${bodyBytes}\r\n\r\n`);
	const sent = Promise.withResolvers<void>();
	socket.write(Buffer.alloc(bodyBytes, 'x'), () => {
		sent.resolve();
	});
	await Promise.race([sent.promise, closed.promise]);
	socket.resume();
	await closed.promise;
	return received;
}

test('a caller that sends a too large body to its end receives the refusal', async t => {
	const fleet = await startFleet({nodes: 1, engines: [{}]});
	t.teardown(fleet.close);
	const received = await sendBeforeReading(fleet.nodes[0]!.callers, fleetKeys.caller);
	t.match(received, /^HTTP\/1.1 413 .*ERR_VALVESADDLE_BODY_TOO_LARGE/sv);
});

test('a caller with an unknown key receives the refusal after it sent a large body', async t => {
	const fleet = await startFleet({nodes: 1, engines: [{}]});
	t.teardown(fleet.close);
	const received = await sendBeforeReading(fleet.nodes[0]!.callers, 'unknown');
	t.match(received, /^HTTP\/1.1 401 /v);
});

test('a caller of a draining node receives the refusal after it sent a large body', async t => {
	const fleet = await startFleet({nodes: 1, engines: [{}], settings: {drain: {grace_ms: 2000}}});
	t.teardown(fleet.close);
	void fleet.nodes[0]!.router.drain();
	const received = await sendBeforeReading(fleet.nodes[0]!.callers, 'unknown');
	t.match(received, /^HTTP\/1.1 401 /v);
});
