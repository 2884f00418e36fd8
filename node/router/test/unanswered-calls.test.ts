/*
A node that is cut from the key-value service gets a newer configuration from a peer that tells of it. A peer that told
of it and then never answered on a living link kept the node from asking any other one, for as long as the link lived.
*/
import {setTimeout as delay} from 'node:timers/promises';
import {errAsync, okAsync, ResultAsync} from 'neverthrow';
import {test} from 'tap';
import {createConfigFollower} from '@valvesaddle/config-follower';
import {emptyConfiguration, formatRecord} from '@valvesaddle/config-schema';
import {ValvesaddleError} from '@valvesaddle/error';
import {waitUntil} from '@valvesaddle/fake-fleet';
import {createLogger} from '@valvesaddle/logger';
import {createMetrics} from '@valvesaddle/metrics';
import type {PeerNetwork} from '@valvesaddle/network';
import {createCatchUp} from '../src/create-catch-up.ts';
import {createPeerRequester} from '../src/create-peer-requester.ts';

const down = new ValvesaddleError('ERR_VALVESADDLE_KV_UNAVAILABLE', 'down');

function createText(revision: number): string {
	return formatRecord({
		revision, changeId: `change-${revision}`, author: 'iva', acceptedAt: 1, recentChanges: [], configuration: emptyConfiguration,
	});
}

function createFollower() {
	return createConfigFollower({
		store: {
			watch: () => errAsync(down), read: () => errAsync(down), readRevision: () => errAsync(down), apply: () => errAsync(down),
		},
		watchMs: 100,
		retryMs: 5,
		askPeers: () => [],
		metrics: createMetrics(),
		logger: createLogger({node: 'n1', level: 'silent'}),
	});
}

/**
A network with one peer that answers only when the test says so; the others have revision 8.
*/
function createNetwork() {
	const calls: string[] = [];
	const mute = Promise.withResolvers<string>();
	const network = {
		call(node: string) {
			calls.push(node);
			return node === 'mute' ? ResultAsync.fromSafePromise(mute.promise) : okAsync(createText(8));
		},
	} as unknown as PeerNetwork;
	return {network, calls, answer: mute.resolve};
}

test('a peer that never answers for its configuration keeps no other from being asked', async t => {
	const follower = createFollower();
	const {network, calls, answer} = createNetwork();
	const catchUp = createCatchUp({network, follower});
	catchUp(8, 'mute');
	await waitUntil(() => calls.length === 1);
	const startedAt = performance.now();
	await waitUntil(() => {
		catchUp(8, 'mute');
		catchUp(8, 'n2');
		return follower.revision() === 8 || performance.now() - startedAt > 5000;
	});
	t.same(calls, ['mute', 'n2'], 'nobody is asked again while a question to it is open');
	t.equal(follower.revision(), 8);
	answer(createText(9));
	await waitUntil(() => follower.revision() === 9);
	catchUp(10, 'mute');
	await delay(400);
	t.same(calls, ['mute', 'n2', 'mute'], 'who answered may be asked again');
});

test('peers that never answer are left out when peers are asked anew', async t => {
	const {network, calls, answer} = createNetwork();
	const askPeers = createPeerRequester({network, listPeers: () => ['mute', 'n2', 'n2', 'n3', 'n4', 'n5'], revision: () => 1});
	const [muteAnswer, ...others] = askPeers();
	t.same(await Promise.all(others), [createText(8), createText(8)]);
	askPeers();
	t.same(calls, ['mute', 'n2', 'n3', 'n2', 'n3', 'n4']);
	answer(createText(9));
	t.equal(await muteAnswer, createText(9));
	askPeers();
	t.same(calls.slice(6), ['mute', 'n2', 'n3']);
});

test('a peer that cannot be reached is asked again', async t => {
	let calls = 0;
	const network = {
		call() {
			calls++;
			return errAsync(new ValvesaddleError('ERR_VALVESADDLE_PEER_UNREACHABLE', 'broken'));
		},
	} as unknown as PeerNetwork;
	const askPeers = createPeerRequester({network, listPeers: () => ['n2'], revision: () => 1});
	t.same(await Promise.all(askPeers()), [undefined]);
	t.same(await Promise.all(askPeers()), [undefined]);
	t.equal(calls, 2);
});
