/*
While the key-value service fails, a node asks some peers for their configuration. One peer that never answered on a
living link held up the answers of all others, and kept the node from watching the key-value service ever again: it
stayed on its old configuration after both were well.
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

const down = new ValvesaddleError('ERR_VALVESADDLE_KV_UNAVAILABLE', 'down');

function createRecord(revision: number): ConfigurationRecord {
	return {
		revision, changeId: `change-${revision}`, author: 'iva', acceptedAt: 1, recentChanges: [], configuration: emptyConfiguration,
	};
}

function createFollower(watch: ConfigStore['watch'], askPeers: () => ReadonlyArray<Promise<unknown>>): ConfigFollower {
	return createConfigFollower({
		store: {
			watch, read: () => errAsync(down), readRevision: () => errAsync(down), apply: () => errAsync(down),
		},
		watchMs: 1000,
		retryMs: 1,
		readPeerRecords: askPeers,
		metrics: createMetrics(),
		logger: createLogger({node: 'test', level: 'silent'}),
	});
}

async function waitForRevision(follower: ConfigFollower, revision: number): Promise<void> {
	for (let elapsedMs = 0; elapsedMs < 5000 && follower.revision() < revision; elapsedMs += 10) {
		// eslint-disable-next-line no-await-in-loop -- looks again after the pause
		await delay(10);
	}
}

test('a peer that never answers keeps back the answer of no other', async t => {
	const mute = Promise.withResolvers<string>();
	const follower = createFollower(() => errAsync(down), () => [mute.promise, Promise.resolve(formatRecord(createRecord(7)))]);
	t.teardown(follower.close);
	follower.start();
	await waitForRevision(follower, 7);
	t.equal(follower.revision(), 7);
	mute.resolve(formatRecord(createRecord(9)));
	await waitForRevision(follower, 9);
	t.equal(follower.revision(), 9, 'what comes late is taken in');
});

test('a peer that never answers keeps no node from watching the key-value service again', async t => {
	let isDown = true;
	const mute = Promise.withResolvers<string>();
	const follower = createFollower(
		({afterIndex}) => isDown || afterIndex > 0 ? errAsync(down) : okAsync({record: createRecord(8), index: 1}),
		() => {
			isDown = false;
			return [mute.promise];
		},
	);
	t.teardown(follower.close);
	follower.start();
	await waitForRevision(follower, 8);
	t.equal(follower.revision(), 8);
});
