import {setTimeout as delay} from 'node:timers/promises';
import Emittery from 'emittery';
import {emptyConfiguration, formatRecord, parseRecord} from '@valvesaddle/config-schema';
import type {ConfigurationRecord} from '@valvesaddle/types';
import type {ConfigEvents} from './config-events.ts';
import type {ConfigFollower} from './config-follower.ts';
import type {ConfigFollowerOptions} from './config-follower-options.ts';

/**
Watches end at different times on different nodes by this part of their length.
*/
const jitterPart = 0.2;
/**
Longest wait for the answers of peers before the key-value service is tried again, in milliseconds: many round trips
between data centres, and the time of a record behind other messages.
*/
const answerMs = 1000;

/**
 Creates the follower of the configuration: one long watch on the key-value service, and peers while that one does not
 answer.

 @example
 follower.events.on('changed', ({data}) => host.configure());
 follower.start();
 */
export function createConfigFollower(options: ConfigFollowerOptions): ConfigFollower {
	const events = new Emittery<ConfigEvents>();
	const stop = new AbortController();
	let current: ConfigurationRecord | undefined;
	/**
	Written out when first asked for.
	*/
	let written: string | undefined;
	let isSettled = false;
	let isReachable = true;

	function offer(record: ConfigurationRecord, source: string): void {
		if (record.revision <= (current?.revision ?? 0)) {
			return;
		}

		current = record;
		written = undefined;
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

	function recordReachable(isReachableNow: boolean, reason: string): void {
		if (isReachableNow === isReachable) {
			return;
		}

		isReachable = isReachableNow;
		options.logger.warn({name: 'kv-state', reachable: isReachableNow, reason});
	}

	async function runWatch(afterIndex: number): Promise<number | undefined> {
		const waitMs = Math.round(options.watchMs * (1 - (Math.random() * jitterPart)));
		const result = await options.store.watch({afterIndex, waitMs, signal: stop.signal});
		if (result.isErr()) {
			recordReachable(false, result.error.message);
			return undefined;
		}

		recordReachable(true, 'answered');
		isSettled = true;
		if (result.value.record !== undefined) {
			offer(result.value.record, 'key-value service');
		}

		return result.value.index;
	}

	async function askPeers(): Promise<void> {
		const answers = options.readPeerRecords().map(async answer => {
			offerText(await answer, 'peer');
		});
		// A peer on a living link may never answer: what comes later is still taken in, but nothing waits for it.
		await Promise.race([Promise.all(answers), delay(answerMs, undefined, {ref: false})]);
	}

	async function runWatches(): Promise<void> {
		let index = 0;
		while (!stop.signal.aborted) {
			// eslint-disable-next-line no-await-in-loop -- one watch at a time
			const next = await runWatch(index);
			// An index that goes back means that the service began anew: watch from the start.
			index = next === undefined || next < index ? 0 : next;
			if (next !== undefined || stop.signal.aborted) {
				continue;
			}

			// eslint-disable-next-line no-await-in-loop -- the next try follows after the pause
			await askPeers();
			// eslint-disable-next-line no-await-in-loop -- the next try follows after the pause
			await delay(options.retryMs * (1 + (Math.random() * jitterPart)), undefined, {ref: false});
		}
	}

	return {
		events,
		start() {
			void runWatches();
		},
		record: () => current,
		text() {
			written ??= current && formatRecord(current);
			return written;
		},
		configuration: () => current?.configuration ?? emptyConfiguration,
		revision: () => current?.revision ?? 0,
		offer,
		offerText,
		isInitialized: () => isSettled,
		close() {
			stop.abort();
		},
	};
}
