/*
Guards the send window against invalid pongs and peers that never confirm, and the timeouts of a link against changes of
the system clock.
*/
import {EventEmitter, once} from 'node:events';
import {setTimeout as delay} from 'node:timers/promises';
import {Clock} from 'clock-mock';
import {test, type Test} from 'tap';
import {WebSocket, WebSocketServer} from 'ws';
import {createMetrics} from '@valvesaddle/metrics';
import {createPeerLink, createPeerNetwork} from '@valvesaddle/network';

const linkTimeoutMs = 1200;
const tickMs = linkTimeoutMs / 6;
const message = '{"jsonrpc":"2.0","method":"cluster.heartbeat","params":{}}';

/**
A link over a fake socket, with a clock that the test advances.
*/
function createLink(t: Test) {
	const clock = new Clock();
	t.teardown(clock.enter());
	const pings: string[] = [];
	const metrics = createMetrics();
	let closeKind: string | undefined;
	// eslint-disable-next-line unicorn/prefer-event-target -- in the form of ws
	const socket = Object.assign(new EventEmitter(), {
		readyState: WebSocket.OPEN,
		send() {
			// Never delivered.
		},
		ping(text: string) {
			pings.push(text);
		},
		terminate() {
			closeKind ??= 'terminated';
		},
		close() {
			closeKind ??= 'closed';
		},
	});
	const link = createPeerLink({
		node: 'b', socket: socket as unknown as WebSocket, handlers: {}, linkTimeoutMs, metrics, onClose() {
			// Not used.
		},
	});
	return {
		link, clock, socket, pings, metrics, getCloseKind: () => closeKind,
	};
}

/**
Ticks a link as the network does, for the given milliseconds at most; returns when the link was closed.
*/
function advanceClock({link, clock, getCloseKind}: ReturnType<typeof createLink>, durationMs: number, onTick: (at: number) => void): number | undefined {
	for (let at = tickMs; at <= durationMs; at += tickMs) {
		clock.advance(tickMs);
		onTick(at);
		link.tick(performance.now());
		if (getCloseKind() !== undefined) {
			return at;
		}
	}

	return undefined;
}

for (const pong of ['', 'x', '1e300', '999999999', '-5', '0.5']) {
	test(`a pong with ${JSON.stringify(pong)} confirms no bytes that were not sent`, t => {
		const {link, socket, pings} = createLink(t);
		socket.emit('pong', pong);
		for (let count = 0; count < 10; count++) {
			link.notify('load', 'x'.repeat(12_000));
		}

		t.notOk(link.isReady(), '120 kB are unconfirmed');
		socket.emit('pong', String(1e6));
		t.notOk(link.isReady(), 'no more bytes are confirmed than were sent');
		t.ok(link.countUnconfirmed() > 120_000, `${link.countUnconfirmed()} bytes`);
		// A pong may cause another ping, which is answered as well.
		for (const ping of pings) {
			socket.emit('pong', ping);
		}

		t.ok(link.isReady(), 'ready again when all bytes are confirmed');
		t.equal(link.countUnconfirmed(), 0);
		t.end();
	});
}

test('a link whose peer sends but does not confirm is closed after five link timeouts, and counted', t => {
	const setup = createLink(t);
	setup.link.notify('load', 'x'.repeat(40_000));
	const closedAt = advanceClock(setup, 60_000, () => {
		setup.socket.emit('message', message);
	}) ?? Infinity;
	t.ok(closedAt >= 5 * linkTimeoutMs && closedAt <= 6 * linkTimeoutMs, `${closedAt} ms`);
	t.equal(setup.getCloseKind(), 'terminated');
	t.equal(setup.metrics.total('peer.links-unconfirmed'), 1);
	t.end();
});

test('pongs that confirm no outstanding bytes do not keep a link open', t => {
	const setup = createLink(t);
	setup.link.notify('load', 'x'.repeat(40_000));
	const closedAt = advanceClock(setup, 60_000, () => {
		setup.socket.emit('pong', '0');
	});
	t.ok(closedAt !== undefined && closedAt <= 6 * linkTimeoutMs, `${closedAt} ms`);
	t.end();
});

test('a link with slow confirmations stays open', t => {
	const setup = createLink(t);
	setup.link.notify('load', 'x'.repeat(40_000));
	let answered = 0;
	t.equal(advanceClock(setup, 120_000, at => {
		setup.socket.emit('message', message);
		if (at % (4 * linkTimeoutMs) !== 0) {
			return;
		}

		setup.socket.emit('pong', setup.pings[answered]);
		answered++;
		setup.link.notify('load', 'x'.repeat(40_000));
	}), undefined);
	t.equal(answered, 25);
	t.equal(setup.link.countUnconfirmed() < 50_000, true, 'all but the last message are confirmed');
	t.end();
});

test('a link with too few unconfirmed bytes for a ping stays open', t => {
	const setup = createLink(t);
	setup.link.notify('load', 'x'.repeat(1000));
	t.equal(advanceClock(setup, 120_000, () => {
		setup.socket.emit('message', message);
	}), undefined);
	t.end();
});

for (const bytes of [0, 40_000]) {
	test(`a process paused for a minute does not close a link because of the pause, with ${bytes} unconfirmed bytes`, t => {
		const {link, clock, socket, getCloseKind} = createLink(t);
		link.notify('load', 'x'.repeat(bytes));
		socket.emit('message', message);
		for (const elapsedMs of [tickMs, 61_000, tickMs]) {
			clock.advance(elapsedMs);
			link.tick(performance.now());
		}

		t.equal(getCloseKind(), undefined);
		t.end();
	});
}

test('a process that stands still for less than the link timeout does not close a link whose pong waits to be read', t => {
	const {link, clock, socket, pings, getCloseKind} = createLink(t);
	void link.call('dispatch.acquire', {});
	for (const elapsedMs of [tickMs, tickMs, tickMs, linkTimeoutMs - 1]) {
		clock.advance(elapsedMs);
		link.tick(performance.now());
	}

	t.ok(pings.length > 0);
	t.equal(getCloseKind(), undefined);
	socket.emit('pong', pings.at(-1));
	for (let tick = 0; tick < 2; tick++) {
		clock.advance(tickMs);
		link.tick(performance.now());
	}

	t.equal(getCloseKind(), undefined);
	t.end();
});

test('a link whose peer stays silent after a standstill of the process is closed', t => {
	const setup = createLink(t);
	void setup.link.call('dispatch.acquire', {}).catch(() => undefined);
	for (const elapsedMs of [tickMs, tickMs, tickMs, linkTimeoutMs - 1]) {
		setup.clock.advance(elapsedMs);
		setup.link.tick(performance.now());
	}

	t.ok(advanceClock(setup, linkTimeoutMs, () => {
		// Nothing is received.
	}) !== undefined);
	t.equal(setup.getCloseKind(), 'terminated');
	t.end();
});

test('a link that is not used for a minute is closed', t => {
	const setup = createLink(t);
	t.equal(advanceClock(setup, 120_000, () => {
		// Nothing is received.
	}), 60_000);
	t.equal(setup.getCloseKind(), 'closed');
	t.end();
});

async function openNetwork(t: Test, isUnresponsive: boolean) {
	const server = new WebSocketServer({port: 0, host: '127.0.0.1', autoPong: !isUnresponsive});
	await once(server, 'listening');
	const {port} = server.address() as {readonly port: number};
	const network = createPeerNetwork({
		node: 'a', host: '127.0.0.1', port: 0, token: 'x', findAddress: () => `127.0.0.1:${port}`, linkTimeoutMs: 200, isCompressed: false, metrics: createMetrics(),
	});
	t.teardown(async () => {
		await network.close();
		server.close();
	});
	const accepted = once(server, 'connection') as Promise<[WebSocket]>;
	network.notify('b', 'load', {});
	const [socket] = await accepted;
	await once(socket, 'message');
	t.same(network.connected(), ['b']);
	return network;
}

function setSystemClock(t: Test, byMs: number): void {
	const read = Date.now;
	t.intercept(Date, 'now', {value: () => read() + byMs, writable: true});
}

test('setting the system clock forward by a minute closes no link', async t => {
	const network = await openNetwork(t, false);
	setSystemClock(t, 61_000);
	await delay(400);
	t.same(network.connected(), ['b']);
});

test('setting the system clock back by an hour does not keep calls on an unresponsive link open', async t => {
	const network = await openNetwork(t, true);
	setSystemClock(t, -3_600_000);
	const outcome = await Promise.race([network.call('b', 'dispatch.acquire', {}), delay(5000, undefined, {ref: false})]);
	t.equal(outcome?.isErr() && outcome.error.code, 'ERR_VALVESADDLE_PEER_UNREACHABLE');
});
