import {errAsync, ResultAsync, ok} from 'neverthrow';
import {test} from 'tap';
import {emptyConfiguration, formatRecord} from '@valvesaddle/config-schema';
import type {ConfigStore, ConfigWatchResult} from '@valvesaddle/config-store';
import {ValvesaddleError} from '@valvesaddle/error';
import {createLogger} from '@valvesaddle/logger';
import {createMetrics} from '@valvesaddle/metrics';
import type {ConfigurationRecord} from '@valvesaddle/types';
import {createConfigFollower, type ConfigFollower} from '@valvesaddle/config-follower';

const waitForever = (): void => {
	// Leaves the promise pending.
};

const unavailable = new ValvesaddleError('ERR_VALVESADDLE_KV_UNAVAILABLE', 'unavailable');

function createRecord(revision: number): ConfigurationRecord {
	return {
		revision, changeId: `change-${revision}`, author: 'iva', acceptedAt: 1, recentChanges: [], configuration: emptyConfiguration,
	};
}

function createFollower(watch: ConfigStore['watch'], readPeerRecords: () => ReadonlyArray<Promise<unknown>> = () => []): ConfigFollower {
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

/**
Answers the first watches with the results in order; later watches stay pending.
*/
function answerWatches(results: readonly ConfigWatchResult[]): ConfigStore['watch'] {
	const remaining = [...results];
	return () => {
		const next = remaining.shift();
		return new ResultAsync(next === undefined ? new Promise<never>(waitForever) : Promise.resolve(ok(next)));
	};
}

test('an older record is never applied, whatever its source', async t => {
	const follower = createFollower(answerWatches([{record: createRecord(5), index: 9}, {record: createRecord(4), index: 10}]));
	t.teardown(follower.close);
	const revisions: number[] = [];
	follower.events.on('changed', ({data}) => {
		revisions.push(data.revision);
	});
	follower.start();
	await follower.events.once('changed');
	follower.offer(createRecord(3), 'operator');
	follower.offerText(formatRecord(createRecord(4)), 'peer');
	follower.offer(createRecord(5), 'operator');
	follower.offerText(formatRecord(createRecord(6)), 'peer');
	follower.offerText(formatRecord(createRecord(2)), 'peer');
	t.equal(follower.revision(), 6);
	t.same(revisions.toSorted((a, b) => a - b), revisions);
});

test('while the service is unavailable a newer record is read from peers', async t => {
	const follower = createFollower(() => errAsync(unavailable), () => [undefined, 'garbage', formatRecord(createRecord(2)), formatRecord(createRecord(7))].map(async text => text));
	t.teardown(follower.close);
	follower.start();
	await follower.events.once('changed');
	t.ok(follower.revision() >= 2);
	t.equal(follower.isInitialized(), false);
});

test('the follower is initialized when the service answers without a configuration', async t => {
	const follower = createFollower(answerWatches([{record: undefined, index: 1}]));
	t.teardown(follower.close);
	follower.start();
	while (!follower.isInitialized()) {
		// eslint-disable-next-line no-await-in-loop -- waits for the first answer
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}

	t.equal(follower.revision(), 0);
	t.same(follower.configuration(), emptyConfiguration);
});
