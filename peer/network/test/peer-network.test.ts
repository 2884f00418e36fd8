import {once} from 'node:events';
import {test, type Test} from 'tap';
import {WebSocket, WebSocketServer} from 'ws';
import {ValvesaddleError} from '@valvesaddle/error';
import {createMetrics} from '@valvesaddle/metrics';
import {createPeerNetwork, type PeerHandlers, type PeerNetwork} from '@valvesaddle/network';

const token = 'shared-secret-of-the-fleet';

async function startPair(t: Test, handlers: PeerHandlers, tokens: readonly [string, string] = [token, token]) {
	const addresses = new Map<string, string>();
	const create = (node: string, own: string): PeerNetwork => createPeerNetwork({
		node, host: '127.0.0.1', port: 0, token: own, findAddress: name => addresses.get(name), linkTimeoutMs: 60_000, isCompressed: false, metrics: createMetrics(),
	});
	const a = create('a', tokens[0]);
	const b = create('b', tokens[1]);
	addresses.set('a', await a.listen({}));
	addresses.set('b', await b.listen(handlers));
	t.teardown(async () => {
		await a.close();
		await b.close();
	});
	return {a, b, address: addresses.get('b') ?? ''};
}

test('a call is answered, and the handler receives the id of the calling node', async t => {
	const {a} = await startPair(t, {'peer.echo': (parameters, peer) => ({parameters, peer})});
	t.same((await a.call('b', 'peer.echo', {x: 1}))._unsafeUnwrap(), {parameters: {x: 1}, peer: 'a'});
});

test('answers that arrive out of order resolve their own calls', async t => {
	const releases = new Map<number, () => void>();
	const {a} = await startPair(t, {
		async 'peer.wait'(parameters) {
			const {promise, resolve} = Promise.withResolvers<void>();
			releases.set(Number(parameters), resolve);
			await promise;
			return parameters;
		},
	});
	const calls = [1, 2, 3].map(async number => a.call('b', 'peer.wait', number));
	while (releases.size < 3) {
		// eslint-disable-next-line no-await-in-loop -- waits for the calls
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}

	for (const number of [3, 1, 2]) {
		releases.get(number)?.();
	}

	t.same((await Promise.all(calls)).map(result => result._unsafeUnwrap()), [1, 2, 3]);
});

test('an error of a handler keeps its code and retry delay on the wire', async t => {
	const {a} = await startPair(t, {
		'peer.fail'() {
			throw new ValvesaddleError('ERR_VALVESADDLE_NOT_READY', 'not yet', {retryAfterMs: 700});
		},
	});
	const result = await a.call('b', 'peer.fail', {});
	t.match(result.isErr() && result.error, {code: 'ERR_VALVESADDLE_NOT_READY', retryAfterMs: 700});
});

const unreachable: ReadonlyArray<readonly [string, readonly [string, string], string]> = [
	['a node without a known address', [token, token], 'unknown'],
	['a node with another token', [token, 'another-secret-altogether'], 'b'],
];

for (const [name, tokens, target] of unreachable) {
	test(`${name} cannot be called`, async t => {
		const {a} = await startPair(t, {'peer.echo': value => value}, tokens);
		const result = await a.call(target, 'peer.echo', {});
		t.equal(result.isErr() && result.error.code, 'ERR_VALVESADDLE_PEER_UNREACHABLE');
	});
}

test('pending calls fail when the link breaks, and the `lost` event is emitted', async t => {
	const {a, b} = await startPair(t, {
		async 'peer.never'() {
			await new Promise(() => {
				// Never answered.
			});
		},
		'peer.echo': value => value,
	});
	await a.call('b', 'peer.echo', 1);
	const lost = a.events.once('lost');
	const waiting = a.call('b', 'peer.never', {});
	await b.close();
	const result = await waiting;
	t.equal(result.isErr() && result.error.code, 'ERR_VALVESADDLE_PEER_UNREACHABLE');
	t.equal((await lost).data.node, 'b');
});

test('a peer that sends nothing while a call is pending is treated as lost, and one that answers pings is not', async t => {
	for (const isUnresponsive of [true, false]) {
		const server = new WebSocketServer({port: 0, host: '127.0.0.1', autoPong: !isUnresponsive});
		// eslint-disable-next-line no-await-in-loop -- one after the other
		await once(server, 'listening');
		const {port} = server.address() as {readonly port: number};
		const metrics = createMetrics();
		const network = createPeerNetwork({
			node: 'a', host: '127.0.0.1', port: 0, token, findAddress: () => `127.0.0.1:${port}`, linkTimeoutMs: 30, isCompressed: false, metrics,
		});
		let pings = 0;
		server.on('connection', socket => {
			socket.on('ping', () => {
				pings++;
				if (pings === 12) {
					socket.terminate();
				}
			});
		});
		// eslint-disable-next-line no-await-in-loop -- one after the other
		const result = await network.call('b', 'peer.never', {});
		t.equal(result.isErr() && result.error.code, 'ERR_VALVESADDLE_PEER_UNREACHABLE');
		t.equal(pings < 12, isUnresponsive, `${pings} pings`);
		// eslint-disable-next-line no-await-in-loop -- one after the other
		await network.close();
		server.close();
	}
});

test('a message that is not JSON-RPC does not affect other calls', async t => {
	const {a, address} = await startPair(t, {'peer.echo': value => value});
	const socket = new WebSocket(`ws://${address}`, {headers: {authorization: `Bearer ${token}`, 'x-valvesaddle-node': 'c'}});
	await new Promise(resolve => {
		socket.once('open', resolve);
	});
	for (const garbage of ['', '{', '[]', '{"jsonrpc":"2.0"}', '42', '{"jsonrpc":"2.0","method":"unknown","id":1}']) {
		socket.send(garbage);
	}

	t.equal((await a.call('b', 'peer.echo', 7))._unsafeUnwrap(), 7);
	socket.terminate();
});

test('a node with a full send window is not ready until it confirms the data', async t => {
	const addresses = new Map<string, string>();
	const network = createPeerNetwork({
		node: 'a', host: '127.0.0.1', port: 0, token, findAddress: name => addresses.get(name), linkTimeoutMs: 60_000, isCompressed: false, metrics: createMetrics(),
	});
	const server = new WebSocketServer({host: '127.0.0.1', port: 0, autoPong: false});
	await once(server, 'listening');
	const bound = server.address();
	addresses.set('b', typeof bound === 'object' && bound !== null ? `127.0.0.1:${bound.port}` : '');
	t.teardown(async () => {
		await network.close();
		server.close();
	});
	const accepted = once(server, 'connection') as Promise<[WebSocket]>;
	t.ok(network.isReady('b'), 'ready without a link, which the first message opens');
	network.notify('b', 'load', 'x'.repeat(12_000));
	const [socket] = await accepted;
	const [ping] = await once(socket, 'ping') as [Uint8Array];
	t.ok(network.isReady('b'), 'the window is not full yet');
	network.broadcast('load', 'x'.repeat(12_000));
	t.notOk(network.isReady('b'));
	const nextPing = once(socket, 'ping') as Promise<[Uint8Array]>;
	socket.pong(ping);
	const [second] = await nextPing;
	t.ok(network.isReady('b'), 'the first message is confirmed');
	network.broadcast('load', 'x'.repeat(12_000));
	t.notOk(network.isReady('b'));
	socket.pong(second);
	await once(socket, 'ping');
	t.ok(network.isReady('b'));
});

test('a network that is closed accepts no new links, and its last messages are delivered', async t => {
	const answered = Promise.withResolvers<string>();
	let isClosed = false;
	const callsAfterClose: unknown[] = [];
	const {a, b} = await startPair(t, {
		'peer.wait': async () => answered.promise,
		'peer.hello'(parameters) {
			if (isClosed) {
				callsAfterClose.push(parameters);
			}
		},
	});
	const waiting = a.call('b', 'peer.wait', {});
	await a.call('b', 'peer.hello', {});
	const answer = 'x'.repeat(1_500_000);
	answered.resolve(answer);
	// The handler's answer is sent in a later turn.
	await new Promise(resolve => {
		setImmediate(resolve);
	});
	const closing = b.close();
	const calls = Array.from({length: 20}, async () => a.call('b', 'peer.hello', {}));
	await closing;
	isClosed = true;
	t.equal((await waiting).unwrapOr('lost'), answer);
	await Promise.all(calls);
	t.ok((await a.call('b', 'peer.hello', {})).isErr());
	t.same(callsAfterClose, []);
});

test('a peer is not lost when one of two links that were opened at the same time closes', async t => {
	const answered = Promise.withResolvers<string>();
	const lost: string[] = [];
	const addresses = new Map<string, string>();
	const create = (node: string): PeerNetwork => createPeerNetwork({
		node, host: '127.0.0.1', port: 0, token, findAddress: name => addresses.get(name), linkTimeoutMs: 60_000, isCompressed: false, metrics: createMetrics(),
	});
	const handlers: PeerHandlers = {'peer.wait': async () => answered.promise, 'peer.hello': () => 'hello'};
	const networks = [create('a'), create('b')] as const;
	const [a, b] = networks;
	for (const [index, network] of networks.entries()) {
		// eslint-disable-next-line no-await-in-loop -- one network after the other
		addresses.set('ab'[index]!, await network.listen(handlers));
		network.events.on('lost', ({data}) => {
			lost.push(data.node);
		});
	}

	t.teardown(async () => {
		await a.close();
		await b.close();
	});
	const waiting = [a.call('b', 'peer.wait', {}), b.call('a', 'peer.wait', {})];
	await Promise.all([a.call('b', 'peer.hello', {}), b.call('a', 'peer.hello', {})]);
	a.disconnect('b');
	const failed = await Promise.race(waiting);
	t.ok(failed.isErr(), 'the call on the link that closed fails');
	t.same([a.connected(), b.connected(), lost], [['b'], ['a'], []]);
	answered.resolve('answered');
	t.same((await Promise.all(waiting)).map(result => result.unwrapOr('lost')).toSorted((x, y) => String(x).localeCompare(String(y))), ['answered', 'lost']);
});
