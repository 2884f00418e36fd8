import {test, type Test} from 'tap';
import {startFakeKv, type FakeKv, type KvFault} from '@valvesaddle/fake-kv';
import {createKvClient} from '@valvesaddle/kv';
import {createLogger} from '@valvesaddle/logger';
import {createMetrics} from '@valvesaddle/metrics';
import {
	createClaimShard,
	type ClaimResponse,
	type ClaimRequest,
	type ClaimShard,
} from '@valvesaddle/claims';

const logger = createLogger({node: 'test', level: 'silent'});

async function startKv(t: Test): Promise<FakeKv> {
	const server = await startFakeKv();
	t.teardown(async () => {
		server.setFault(undefined);
		await server.close();
	});
	return server;
}

function createWriter(t: Test, server: FakeKv, windowMs = 3_600_000) {
	const metrics = createMetrics();
	const kv = createKvClient({urls: [server.url], timeoutMs: 150, metrics});
	t.teardown(async () => kv.close());
	const shard = createClaimShard({
		shard: 0, kv, windowMs, writeIntervalMs: 1, metrics, logger,
	});
	return {shard, metrics};
}

function createRequest(key: string, requestId: string): ClaimRequest {
	return {
		account: 'sawmill', key, fingerprint: 'f', requestId, node: requestId.slice(0, 2),
	};
}

async function claim(shard: ClaimShard, key: string, requestId: string): Promise<ClaimResponse['kind'] | string> {
	const result = await shard.claim(createRequest(key, requestId));
	return result.isOk() ? result.value.kind : result.error.code;
}

test('only the first of two attempts with one key gets the claim', async t => {
	const {shard} = createWriter(t, await startKv(t));
	t.equal(await claim(shard, 'permit-1', 'n1_a'), 'claimed');
	t.equal(await claim(shard, 'permit-1', 'n2_b'), 'held');
	t.equal(await claim(shard, 'permit-2', 'n2_b'), 'claimed');
});

test('repeating a claim for the same attempt gives the same response', async t => {
	const {shard} = createWriter(t, await startKv(t));
	t.equal(await claim(shard, 'permit-1', 'n1_a'), 'claimed');
	t.equal(await claim(shard, 'permit-1', 'n1_a'), 'claimed');
});

test('concurrent writers never grant one claim to two attempts', async t => {
	const server = await startKv(t);
	const writers = [createWriter(t, server), createWriter(t, server), createWriter(t, server)];
	for (let round = 0; round < 20; round++) {
		// eslint-disable-next-line no-await-in-loop -- rounds are sequential
		const responses = await Promise.all(writers.map(async ({shard}, index) => claim(shard, `permit-${round}`, `n${index}_${round}`)));
		t.equal(responses.filter(response => response === 'claimed').length, 1, responses.join(' '));
	}
});

test('a write by a paused writer is fenced off and the writer sees the claims of its successor', async t => {
	const server = await startKv(t);
	const paused = createWriter(t, server);
	t.equal(await claim(paused.shard, 'permit-0', 'n1_a'), 'claimed');
	const successor = createWriter(t, server);
	t.equal(await claim(successor.shard, 'permit-1', 'n2_b'), 'claimed');
	t.equal(await claim(paused.shard, 'permit-1', 'n1_c'), 'held');
});

type LossCase = {
	readonly fault: KvFault;
	/**
	Result for the caller when the fault affects its write.
	*/
	readonly expected: string;
};

const lossCases: readonly LossCase[] = [
	{fault: 'drop-after', expected: 'claimed'},
	{fault: 'drop-before', expected: 'claimed'},
	{fault: 'late', expected: 'claimed'},
	{fault: 'refuse', expected: 'ERR_VALVESADDLE_CLAIMS_UNAVAILABLE'},
];

for (const {fault, expected} of lossCases) {
	test(`with the fault "${fault}" on its write, a claim ends as ${expected} and is never granted to a second attempt`, async t => {
		const server = await startKv(t);
		const {shard} = createWriter(t, server);
		t.equal(await claim(shard, 'warm-up', 'n1_w'), 'claimed');
		server.failNextWrite(fault);
		const first = await claim(shard, 'permit-1', 'n1_a');
		t.equal(first, expected);
		const second = await claim(createWriter(t, server).shard, 'permit-1', 'n2_b');
		t.equal(second, first === 'claimed' ? 'held' : 'claimed');
	});
}

test('a claim is refused while the key-value service is down and granted once it is available', async t => {
	const server = await startKv(t);
	const {shard} = createWriter(t, server);
	server.setFault('refuse');
	t.equal(await claim(shard, 'permit-1', 'n1_a'), 'ERR_VALVESADDLE_CLAIMS_UNAVAILABLE');
	server.setFault(undefined);
	t.equal(await claim(shard, 'permit-1', 'n1_b'), 'claimed');
});

test('a claim released by its own attempt is free again; another attempt cannot release it', async t => {
	const {shard} = createWriter(t, await startKv(t));
	t.equal(await claim(shard, 'permit-1', 'n1_a'), 'claimed');
	await shard.release(createRequest('permit-1', 'n9_other'));
	t.equal(await claim(shard, 'permit-1', 'n2_b'), 'held');
	await shard.release(createRequest('permit-1', 'n1_a'));
	t.equal(await claim(shard, 'permit-1', 'n2_b'), 'claimed');
});

test('concurrent claims share writes', async t => {
	const server = await startKv(t);
	const {shard} = createWriter(t, server);
	server.setDelay(5);
	const responses = await Promise.all(Array.from({length: 200}, async (_, index) => claim(shard, `permit-${index}`, `n1_${index}`)));
	t.ok(responses.every(response => response === 'claimed'));
	const writes = server.calls().put ?? 0;
	t.ok(writes <= 5, `${writes} writes for 200 claims`);
});

test('claims survive full segments, archiving and a change of writer', async t => {
	const server = await startKv(t);
	const {shard} = createWriter(t, server);
	for (let batch = 0; batch < 12; batch++) {
		// eslint-disable-next-line no-await-in-loop -- batches are sequential
		await Promise.all(Array.from({length: 100}, async (_, index) => claim(shard, `permit-${batch}-${index}`, `n1_${batch}-${index}`)));
	}

	t.ok(server.keys().filter(key => key.includes('/segment/')).length >= 3);
	const successor = createWriter(t, server).shard;
	for (const key of ['permit-0-0', 'permit-5-50', 'permit-11-99']) {
		// eslint-disable-next-line no-await-in-loop -- lookups are sequential
		t.equal(await claim(successor, key, 'n2_again'), 'held', key);
	}
});

test('a lost archive write loses no claim', async t => {
	const server = await startKv(t);
	const first = createWriter(t, server);
	for (let batch = 0; batch < 9; batch++) {
		// eslint-disable-next-line no-await-in-loop -- batches are sequential
		await Promise.all(Array.from({length: 100}, async (_, index) => claim(first.shard, `permit-${batch}-${index}`, `n1_${batch}-${index}`)));
		server.failNextWrite(batch % 2 === 0 ? 'drop-before' : 'late');
	}

	const successor = createWriter(t, server).shard;
	for (let batch = 0; batch < 9; batch++) {
		// eslint-disable-next-line no-await-in-loop -- lookups are sequential
		t.equal(await claim(successor, `permit-${batch}-7`, 'n2_again'), 'held');
	}
});

test('a claim expires after its window', async t => {
	const server = await startKv(t);
	const {shard} = createWriter(t, server, 1);
	t.equal(await claim(shard, 'permit-1', 'n1_a'), 'claimed');
	const until = Date.now() + 2;
	while (Date.now() < until) {
		// eslint-disable-next-line no-await-in-loop -- lets the window pass
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}

	t.equal(await claim(shard, 'permit-1', 'n2_b'), 'claimed');
});
