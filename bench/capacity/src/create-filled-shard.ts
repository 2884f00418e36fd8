import {createClaimShard, type ClaimShard} from '@valvesaddle/claims';
import {startFakeKv} from '@valvesaddle/fake-kv';
import {createKvClient} from '@valvesaddle/kv';
import {createLogger} from '@valvesaddle/logger';
import {createMetrics} from '@valvesaddle/metrics';

const windowMs = 3_600_000;
const batch = 200;

/**
 Makes so many claims in a shard of its own, then lets the stand-in go so that only the writer's memory is held.

 @example
 const shard = await createFilledShard(20_000);
 */
export async function createFilledShard(count: number): Promise<ClaimShard> {
	const server = await startFakeKv();
	const metrics = createMetrics();
	const kv = createKvClient({urls: [server.url], timeoutMs: 5000, metrics});
	const shard = createClaimShard({
		shard: 0, kv, windowMs, writeIntervalMs: 1, metrics, logger: createLogger({node: 'bench', level: 'silent'}),
	});
	for (let from = 0; from < count; from += batch) {
		// eslint-disable-next-line no-await-in-loop -- batches, as claims come
		await Promise.all(Array.from({length: batch}, async (_, index) => shard.claim({
			account: 'client-account', key: `key-${from + index}`, fingerprint: 'abcdefghijklmnopqrstuv', requestId: `n1_${crypto.randomUUID()}`, node: 'n1',
		})));
	}

	await kv.close();
	await server.close();
	return shard;
}
