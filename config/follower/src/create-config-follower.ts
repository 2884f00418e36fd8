import {setTimeout as delay} from 'node:timers/promises';
import Emittery from 'emittery';
import {emptyConfiguration, formatRecord, parseRecord} from '@valvesaddle/config-schema';
import type {ConfigurationRecord} from '@valvesaddle/types';
import type {ConfigEvents} from './config-events.ts';
import type {ConfigFollower} from './config-follower.ts';
import type {ConfigFollowerOptions} from './config-follower-options.ts';

/**
Share of the watch duration and of the retry delay that is random, so that nodes do not call at the same time.
*/
const jitterShare = 0.2;
/**
Maximum wait for the answers of peers before the next watch, in milliseconds. Leaves time for a record queued behind
other messages on a link between data centres.
*/
const peerTimeoutMs = 1000;

/**
 Creates a configuration follower. It long-polls the key-value service, and reads from peers while the service is
 unavailable.

 @example
 follower.events.on('changed', ({data}) => host.configure());
 follower.start();
 */
export function createConfigFollower(options: ConfigFollowerOptions): ConfigFollower {
	const events = new Emittery<ConfigEvents>();
	const stop = new AbortController();
	let current: ConfigurationRecord | undefined;
	/**
	Serialized form of `current`, created on first use.
	*/
	let currentText: string | undefined;
	let isInitialized = false;
	let isReachable = true;

	function offer(record: ConfigurationRecord, source: string): void {
		if (record.revision <= (current?.revision ?? 0)) {
			return;
		}

		current = record;
		currentText = undefined;
		options.metrics.gauge('configuration.revision', record.revision);
		options.metrics.increment('configuration.changes', 1, {source});
		options.logger.info({
			name: 'configuration-in-force', revision: record.revision, changeId: record.changeId, source,
		});
		void events.emit('changed', record);
	}

	function offerText(text: unknown, source: string): void {
		const record = typeof text === 'string' ? parseRecord(text) : undefined;
		if (record?.isErr()) {
			options.metrics.increment('configuration.rejected');
		}

		if (record?.isOk()) {
			offer(record.value, source);
		}
	}

	function updateReachable(isReachableNow: boolean, reason: string): void {
		if (isReachableNow === isReachable) {
			return;
		}

		isReachable = isReachableNow;
		options.logger.warn({name: 'kv-state', reachable: isReachableNow, reason});
	}

	async function runWatch(afterIndex: number): Promise<number | undefined> {
		const waitMs = Math.round(options.watchMs * (1 - (Math.random() * jitterShare)));
		const result = await options.store.watch({afterIndex, waitMs, signal: stop.signal});
		if (result.isErr()) {
			updateReachable(false, result.error.message);
			return undefined;
		}

		updateReachable(true, 'answered');
		isInitialized = true;
		if (result.value.record !== undefined) {
			offer(result.value.record, 'key-value service');
		}

		return result.value.index;
	}

	async function readPeers(): Promise<void> {
		const answers = options.readPeerRecords().map(async answer => {
			offerText(await answer, 'peer');
		});
		// A peer on a live link may never answer: late answers are still applied, but the watch does not wait for them.
		await Promise.race([Promise.all(answers), delay(peerTimeoutMs, undefined, {ref: false})]);
	}

	async function runWatches(): Promise<void> {
		let index = 0;
		while (!stop.signal.aborted) {
			// eslint-disable-next-line no-await-in-loop -- one watch at a time
			const next = await runWatch(index);
			// An index that goes back means that the service was reset: watch from the start.
			index = next === undefined || next < index ? 0 : next;
			if (next !== undefined || stop.signal.aborted) {
				continue;
			}

			// eslint-disable-next-line no-await-in-loop -- attempts are sequential
			await readPeers();
			// eslint-disable-next-line no-await-in-loop -- attempts are sequential
			await delay(options.retryMs * (1 + (Math.random() * jitterShare)), undefined, {ref: false});
		}
	}

	return {
		events,
		start() {
			void runWatches();
		},
		record: () => current,
		text() {
			currentText ??= current && formatRecord(current);
			return currentText;
		},
		configuration: () => current?.configuration ?? emptyConfiguration,
		revision: () => current?.revision ?? 0,
		offer,
		offerText,
		isInitialized: () => isInitialized,
		close() {
			stop.abort();
		},
	};
}
