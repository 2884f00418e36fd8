import {setTimeout as delay} from 'node:timers/promises';
import {findPercentile, formatTable} from '@valvesaddle/bench-harness';
import {createClaimShard, type ClaimShard} from '@valvesaddle/claims';
import {startFakeKv, type FakeKv} from '@valvesaddle/fake-kv';
import {createKvClient, type KvStore} from '@valvesaddle/kv';
import {createLogger} from '@valvesaddle/logger';
import {createMetrics} from '@valvesaddle/metrics';

const rates = [5, 25, 100, 400];
const lengthMs = 4000;
const kvDelayMs = 3;
const windowMs = 3_600_000;
const writePausesMs = [20, 100];
const takeOverSizes = [1000, 5000, 20_000];
const batch = 200;

/**
 Measures a claim shard against a key-value service that answers in 3 ms: calls per claim and time per claim by rate, and
 the time for another node to take the shard over.

 @example
 console.log(await measureClaims());
 */
export async function measureClaims(): Promise<string> {
	const rows: string[][] = [];
	for (const pauseMs of writePausesMs) {
		for (const rate of rates) {
			// eslint-disable-next-line no-await-in-loop -- one rate after the other
			rows.push(await measureRate(pauseMs, rate));
		}
	}

	const takeOvers: string[][] = [];
	for (const size of takeOverSizes) {
		// eslint-disable-next-line no-await-in-loop -- one size after the other
		takeOvers.push(await measureTakeOver(size));
	}

	const first = formatTable(['write pause', 'claims/s', 'writes per claim', 'reads per claim', 'writes/s', 'time p50', 'time p99'], rows);
	return `${first}\n\n${formatTable(['claims in window', 'segments', 'reads', 'time to take over'], takeOvers)}`;
}

function createShard(kv: KvStore, writePauseMs: number): ClaimShard {
	return createClaimShard({
		shard: 0, kv, windowMs, writeIntervalMs: writePauseMs, metrics: createMetrics(), logger: createLogger({node: 'bench', level: 'silent'}),
	});
}

async function startStore(): Promise<{readonly server: FakeKv; readonly kv: KvStore}> {
	const server = await startFakeKv();
	server.setDelay(kvDelayMs);
	return {server, kv: createKvClient({urls: [server.url], timeoutMs: 5000, metrics: createMetrics()})};
}

async function claim(shard: ClaimShard, key: string): Promise<number> {
	const startedAt = performance.now();
	await shard.claim({
		account: 'client-account', key, fingerprint: 'abcdefghijklmnopqrstuv', requestId: `n1_${crypto.randomUUID()}`, node: 'n1',
	});
	return performance.now() - startedAt;
}

async function measureRate(writePauseMs: number, rate: number): Promise<string[]> {
	const {server, kv} = await startStore();
	const shard = createShard(kv, writePauseMs);
	const pending: Array<Promise<number>> = [];
	const until = performance.now() + lengthMs;
	while (performance.now() < until) {
		pending.push(claim(shard, `key-${pending.length}`));
		// eslint-disable-next-line no-await-in-loop -- claims come at their rate
		await delay(-Math.log(1 - Math.random()) * (1000 / rate));
	}

	const times = await Promise.all(pending);
	const {put = 0, get = 0} = server.calls();
	await kv.close();
	await server.close();
	return [
		`${writePauseMs} ms`,
		(pending.length / (lengthMs / 1000)).toFixed(0),
		(put / pending.length).toFixed(2),
		(get / pending.length).toFixed(2),
		(put / (lengthMs / 1000)).toFixed(1),
		`${findPercentile(times, 0.5).toFixed(0)} ms`,
		`${findPercentile(times, 0.99).toFixed(0)} ms`,
	];
}

async function measureTakeOver(size: number): Promise<string[]> {
	const {server, kv} = await startStore();
	server.setDelay(0);
	const first = createShard(kv, 1);
	for (let from = 0; from < size; from += batch) {
		// eslint-disable-next-line no-await-in-loop -- batches, as claims come
		await Promise.all(Array.from({length: batch}, async (_, index) => claim(first, `key-${from + index}`)));
	}

	server.setDelay(kvDelayMs);
	const before = server.calls().get ?? 0;
	const takenMs = await claim(createShard(kv, 1), 'fresh');
	const segments = server.keys().filter(key => key.includes('/segment/')).length;
	const reads = (server.calls().get ?? 0) - before;
	await kv.close();
	await server.close();
	return [String(size), String(segments), String(reads), `${takenMs.toFixed(0)} ms`];
}
