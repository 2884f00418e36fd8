/*
Guards against a peer that never answers on a live link keeping a node from reading a newer configuration from other peers.
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

const unavailable = new ValvesaddleError('ERR_VALVESADDLE_KV_UNAVAILABLE', 'down');

function createText(revision: number): string {
	return formatRecord({
		revision, changeId: `change-${revision}`, author: 'iva', acceptedAt: 1, recentChanges: [], configuration: emptyConfiguration,
	});
}

function createFollower() {
	return createConfigFollower({
		store: {
			watch: () => errAsync(unavailable), read: () => errAsync(unavailable), readRevision: () => errAsync(unavailable), apply: () => errAsync(unavailable),
		},
		watchMs: 100,
		retryMs: 5,
		readPeerRecords: () => [],
		metrics: createMetrics(),
		logger: createLogger({node: 'n1', level: 'silent'}),
	});
}

/**
A network with one peer that answers when the test calls `answer`; the others return revision 8.
*/
function createNetwork() {
	const calls: string[] = [];
	const pendingAnswer = Promise.withResolvers<string>();
	const network = {
		call(node: string) {
			calls.push(node);
			return node === 'silent' ? ResultAsync.fromSafePromise(pendingAnswer.promise) : okAsync(createText(8));
		},
	} as unknown as PeerNetwork;
	return {network, calls, answer: pendingAnswer.resolve};
}

test('a peer that never answers does not keep others from being called', async t => {
	const follower = createFollower();
	const {network, calls, answer} = createNetwork();
	const catchUp = createCatchUp({network, follower});
	catchUp(8, 'silent');
	await waitUntil(() => calls.length === 1);
	const startedAt = performance.now();
	await waitUntil(() => {
		catchUp(8, 'silent');
		catchUp(8, 'n2');
		return follower.revision() === 8 || performance.now() - startedAt > 5000;
	});
	t.same(calls, ['silent', 'n2'], 'a peer with a pending call is not called again');
	t.equal(follower.revision(), 8);
	answer(createText(9));
	await waitUntil(() => follower.revision() === 9);
	catchUp(10, 'silent');
	await delay(400);
	t.same(calls, ['silent', 'n2', 'silent'], 'a peer that answered may be called again');
});

test('peers with a pending call are skipped by further requests', async t => {
	const {network, calls, answer} = createNetwork();
	const requestConfiguration = createPeerRequester({network, listPeers: () => ['silent', 'n2', 'n2', 'n3', 'n4', 'n5'], revision: () => 1});
	const [silentAnswer, ...others] = requestConfiguration();
	t.same(await Promise.all(others), [createText(8), createText(8)]);
	requestConfiguration();
	t.same(calls, ['silent', 'n2', 'n3', 'n2', 'n3', 'n4']);
	answer(createText(9));
	t.equal(await silentAnswer, createText(9));
	requestConfiguration();
	t.same(calls.slice(6), ['silent', 'n2', 'n3']);
});

test('an unreachable peer is called again', async t => {
	let calls = 0;
	const network = {
		call() {
			calls++;
			return errAsync(new ValvesaddleError('ERR_VALVESADDLE_PEER_UNREACHABLE', 'broken'));
		},
	} as unknown as PeerNetwork;
	const requestConfiguration = createPeerRequester({network, listPeers: () => ['n2'], revision: () => 1});
	t.same(await Promise.all(requestConfiguration()), [undefined]);
	t.same(await Promise.all(requestConfiguration()), [undefined]);
	t.equal(calls, 2);
});
