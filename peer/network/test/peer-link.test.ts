/*
A link counts what it sent and what the other node has confirmed, and takes no news above a window that is open. It took
any number that a pong told: one that is none made it never ready again, one too large made it ready for good. Nothing
ended a link that was heard but never confirmed, so the node behind it got no news any more, in silence. The link went
by the time of day: set forward by a minute, every idle link was closed at once; set back by an hour, no pings went out
and calls on a dead link waited for that hour.
*/
import {EventEmitter, once} from 'node:events';
import {setTimeout as delay} from 'node:timers/promises';
import {Clock} from 'clock-mock';
import {test, type Test} from 'tap';
import {WebSocket, WebSocketServer} from 'ws';
import {createMetrics} from '@valvesaddle/metrics';
import {createPeerLink, createPeerNetwork} from '@valvesaddle/network';

const silenceMs = 1200;
const tickMs = silenceMs / 6;
const message = '{"jsonrpc":"2.0","method":"cluster.heartbeat","params":{}}';

/**
A link over a socket that only takes note, by a clock that the test advances.
*/
function createLink(t: Test) {
	const clock = new Clock();
	t.teardown(clock.enter());
	const pings: string[] = [];
	const metrics = createMetrics();
	let end: string | undefined;
	// eslint-disable-next-line unicorn/prefer-event-target -- in the form of ws
	const socket = Object.assign(new EventEmitter(), {
		readyState: WebSocket.OPEN,
		send() {
			// It waits on its way.
		},
		ping(text: string) {
			pings.push(text);
		},
		terminate() {
			end ??= 'terminated';
		},
		close() {
			end ??= 'closed';
		},
	});
	const link = createPeerLink({
		node: 'b', socket: socket as unknown as WebSocket, handlers: {}, linkTimeoutMs: silenceMs, metrics, onClose() {
			// Not looked at here.
		},
	});
	return {
		link, clock, socket, pings, metrics, getEnd: () => end,
	};
}

/**
Looks after a link as the network does, for so many milliseconds at the most; returns when it ended.
*/
function advanceClock({link, clock, getEnd}: ReturnType<typeof createLink>, durationMs: number, onTick: (at: number) => void): number | undefined {
	for (let at = tickMs; at <= durationMs; at += tickMs) {
		clock.advance(tickMs);
		onTick(at);
		link.tick(performance.now());
		if (getEnd() !== undefined) {
			return at;
		}
	}

	return undefined;
}

for (const said of ['', 'x', '1e300', '999999999', '-5', '0.5']) {
	test(`a pong that says ${JSON.stringify(said)} confirms nothing that was not sent`, t => {
		const {link, socket, pings} = createLink(t);
		socket.emit('pong', said);
		for (let count = 0; count < 10; count++) {
			link.notify('news', 'x'.repeat(12_000));
		}

		t.notOk(link.isReady(), '120 kB are open');
		socket.emit('pong', String(1e6));
		t.notOk(link.isReady(), 'no more can be confirmed than was sent');
		t.ok(link.countUnconfirmed() > 120_000, `${link.countUnconfirmed()} bytes`);
		// A pong may bring another ping, which is answered as well.
		for (const ping of pings) {
			socket.emit('pong', ping);
		}

		t.ok(link.isReady(), 'ready again when all was confirmed');
		t.equal(link.countUnconfirmed(), 0);
		t.end();
	});
}

test('a link whose other end sends but does not confirm is ended after five silences, and counted', t => {
	const setup = createLink(t);
	setup.link.notify('news', 'x'.repeat(40_000));
	const endedAt = advanceClock(setup, 60_000, () => {
		setup.socket.emit('message', message);
	}) ?? Infinity;
	t.ok(endedAt >= 5 * silenceMs && endedAt <= 6 * silenceMs, `${endedAt} ms`);
	t.equal(setup.getEnd(), 'terminated');
	t.equal(setup.metrics.total('peer.links-unconfirmed'), 1);
	t.end();
});

test('a pong that confirms nothing of what is open keeps no link alive', t => {
	const setup = createLink(t);
	setup.link.notify('news', 'x'.repeat(40_000));
	const endedAt = advanceClock(setup, 60_000, () => {
		setup.socket.emit('pong', '0');
	});
	t.ok(endedAt !== undefined && endedAt <= 6 * silenceMs, `${endedAt} ms`);
	t.end();
});

test('a link that confirms slowly lives on', t => {
	const setup = createLink(t);
	setup.link.notify('news', 'x'.repeat(40_000));
	let answered = 0;
	t.equal(advanceClock(setup, 120_000, at => {
		setup.socket.emit('message', message);
		if (at % (4 * silenceMs) !== 0) {
			return;
		}

		setup.socket.emit('pong', setup.pings[answered]);
		answered++;
		setup.link.notify('news', 'x'.repeat(40_000));
	}), undefined);
	t.equal(answered, 25);
	t.equal(setup.link.countUnconfirmed() < 50_000, true, 'each was confirmed but the last');
	t.end();
});

test('a link with too little under way to be asked about lives on', t => {
	const setup = createLink(t);
	setup.link.notify('news', 'x'.repeat(1000));
	t.equal(advanceClock(setup, 120_000, () => {
		setup.socket.emit('message', message);
	}), undefined);
	t.end();
});

for (const bytes of [0, 40_000]) {
	test(`a process that stood still for a minute ends no link by that alone, with ${bytes} bytes under way`, t => {
		const {link, clock, socket, getEnd} = createLink(t);
		link.notify('news', 'x'.repeat(bytes));
		socket.emit('message', message);
		for (const elapsedMs of [tickMs, 61_000, tickMs]) {
			clock.advance(elapsedMs);
			link.tick(performance.now());
		}

		t.equal(getEnd(), undefined);
		t.end();
	});
}

test('a link that nobody uses for a minute is closed', t => {
	const setup = createLink(t);
	t.equal(advanceClock(setup, 120_000, () => {
		// Nothing comes.
	}), 60_000);
	t.equal(setup.getEnd(), 'closed');
	t.end();
});

async function openNetwork(t: Test, isFrozen: boolean) {
	const server = new WebSocketServer({port: 0, host: '127.0.0.1', autoPong: !isFrozen});
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
	network.notify('b', 'news', {});
	const [socket] = await accepted;
	await once(socket, 'message');
	t.same(network.connected(), ['b']);
	return network;
}

function setSystemClock(t: Test, byMs: number): void {
	const read = Date.now;
	t.intercept(Date, 'now', {value: () => read() + byMs, writable: true});
}

test('a time of day that is set forward by a minute closes no link', async t => {
	const network = await openNetwork(t, false);
	setSystemClock(t, 61_000);
	await delay(400);
	t.same(network.connected(), ['b']);
});

test('a time of day that is set back by an hour leaves no call on a dead link without end', async t => {
	const network = await openNetwork(t, true);
	setSystemClock(t, -3_600_000);
	const outcome = await Promise.race([network.call('b', 'dispatch.acquire', {}), delay(5000, undefined, {ref: false})]);
	t.equal(outcome?.isErr() && outcome.error.code, 'ERR_VALVESADDLE_PEER_UNREACHABLE');
});
