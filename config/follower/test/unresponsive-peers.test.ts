/*
A peer that never answers on a live link must not block the answers of other peers, nor the next watch of the
key-value service.
*/
import {setTimeout as delay} from 'node:timers/promises';
import {errAsync, okAsync} from 'neverthrow';
import {test} from 'tap';
import {emptyConfiguration, formatRecord} from '@valvesaddle/config-schema';
import type {ConfigStore} from '@valvesaddle/config-store';
import {ValvesaddleError} from '@valvesaddle/error';
import {createLogger} from '@valvesaddle/logger';
import {createMetrics} from '@valvesaddle/metrics';
import type {ConfigurationRecord} from '@valvesaddle/types';
import {createConfigFollower, type ConfigFollower} from '@valvesaddle/config-follower';

const unavailable = new ValvesaddleError('ERR_VALVESADDLE_KV_UNAVAILABLE', 'unavailable');

function createRecord(revision: number): ConfigurationRecord {
	return {
		revision, changeId: `change-${revision}`, author: 'iva', acceptedAt: 1, recentChanges: [], configuration: emptyConfiguration,
	};
}

function createFollower(watch: ConfigStore['watch'], readPeerRecords: () => ReadonlyArray<Promise<unknown>>): ConfigFollower {
	return createConfigFollower({
		store: {
			watch, read: () => errAsync(unavailable), readRevision: () => errAsync(unavailable), apply: () => errAsync(unavailable),
		},
		watchMs: 1000,
		retryMs: 1,
		readPeerRecords,
		metrics: createMetrics(),
		logger: createLogger({node: 'test', level: 'silent'}),
	});
}

async function waitForRevision(follower: ConfigFollower, revision: number): Promise<void> {
	for (let elapsedMs = 0; elapsedMs < 5000 && follower.revision() < revision; elapsedMs += 10) {
		// eslint-disable-next-line no-await-in-loop -- polls
		await delay(10);
	}
}

test('a peer that never answers does not delay the answers of others', async t => {
	const unresponsive = Promise.withResolvers<string>();
	const follower = createFollower(() => errAsync(unavailable), () => [unresponsive.promise, Promise.resolve(formatRecord(createRecord(7)))]);
	t.teardown(follower.close);
	follower.start();
	await waitForRevision(follower, 7);
	t.equal(follower.revision(), 7);
	unresponsive.resolve(formatRecord(createRecord(9)));
	await waitForRevision(follower, 9);
	t.equal(follower.revision(), 9, 'a late answer is applied');
});

test('a peer that never answers does not prevent the next watch of the key-value service', async t => {
	let isUnavailable = true;
	const unresponsive = Promise.withResolvers<string>();
	const follower = createFollower(
		({afterIndex}) => isUnavailable || afterIndex > 0 ? errAsync(unavailable) : okAsync({record: createRecord(8), index: 1}),
		() => {
			isUnavailable = false;
			return [unresponsive.promise];
		},
	);
	t.teardown(follower.close);
	follower.start();
	await waitForRevision(follower, 8);
	t.equal(follower.revision(), 8);
});
