import {setTimeout as wait} from 'node:timers/promises';
import {createDutyPlatform, decodeDuties} from '@valvesaddle/duty-api';
import {createDutyLease} from '@valvesaddle/duty-lease';
import {createScaler} from '@valvesaddle/duty-scaling';
import type {DutyProof} from '@valvesaddle/duty-types';
import {createUsageReporter} from '@valvesaddle/duty-usage';
import {createDutyStore} from '@valvesaddle/fleet-store';
import {countReady} from './count-ready.ts';
import {createCallRecorder} from './create-call-recorder.ts';
import type {DutyTask} from './duty-task.ts';
import type {DutyTaskOptions} from './duty-task-options.ts';

const msPerSecond = 1000;
/**
Key of the store's entry that names the holder of all duties.
*/
const holderKey = 'holder';
/**
Renewals within a lease: two may fail before it expires.
*/
const renewalsPerLease = 4;
/**
Delay of scaling after the start, in milliseconds: before the ready replicas are known, an order could remove all of them.
*/
const scalingDelayMs = 2500;
/**
Interval between two checks for due reports or orders, in milliseconds.
*/
const checkIntervalMs = 500;
/**
Added to `order_ms` for the time in which a node that held the duties leaves them to others, in milliseconds.
*/
const standAsideMarginMs = 1000;

/**
 Creates a node's part in the singleton duties. Followers of the store are candidates; the holder of the lease reports usage and
 orders replicas.

 @example
 const duties = createDutyTask(options);
 duties.start();
 */
export function createDutyTask(options: DutyTaskOptions): DutyTask {
	const {settings, view, sync, logger, metrics} = options;
	const closing = new AbortController();
	const startedAt = performance.now();
	const offered = decodeDuties(settings.offered);
	const store = createDutyStore({
		...options.store,
		onCall: createCallRecorder(metrics),
	});
	const platform = createDutyPlatform({
		address: settings.address,
		timeoutMs: settings.timeout_ms,
		onCall({call, answer, reason, milliseconds}) {
			metrics.increment('duties.calls', 1, {call, answer});
			logger.info({
				name: 'duty-called', call, answer, reason, milliseconds: Math.round(milliseconds),
			});
		},
	});
	const lease = createDutyLease({
		store, key: holderKey, holder: options.process, leaseMs: settings.lease_ms, reacquireDelayMs: settings.order_ms + standAsideMarginMs, logger, metrics,
	});

	function getProof(): DutyProof | undefined {
		const token = lease.token();
		return token === undefined ? undefined : {holder: options.name, token};
	}

	const reporter = createUsageReporter({
		counters: {sum: window => sync.usage?.counters.sum(window) ?? {}},
		store,
		platform,
		getProof,
		confirm: lease.confirm,
		windowMs: settings.window_s * msPerSecond,
		settleMs: settings.settle_ms,
		logger,
		metrics,
	});
	const scaler = createScaler({
		platform,
		getProof,
		confirm: lease.confirm,
		raiseToken: lease.raiseToken,
		listPools: () => view.configuration()?.pools ?? [],
		countReady: pool => countReady(view.endpoints(), pool),
		measurePoolLoad: pool => ({
			...options.selector.measurePoolLoad(pool), slots: view.configuration()?.pools.find(({name}) => name === pool)?.engine?.slots ?? 1,
		}),
		minimumShare: settings.least_share,
		logger,
		metrics,
	});

	view.events.on('entry', ({data: {key, isRemoved}}) => {
		if (isRemoved && key.endsWith(holderKey)) {
			lease.markFree();
		}
	});

	async function runRepeatedly(measureInterval: () => number, step: () => Promise<void>): Promise<void> {
		while (!closing.signal.aborted) {
			// eslint-disable-next-line no-await-in-loop -- one step after the other
			await step();
			// eslint-disable-next-line no-await-in-loop -- the delay between two steps
			await wait(measureInterval(), undefined, {ref: false});
		}
	}

	/**
	A node that becomes a candidate is not to wait for a part of a long lease.
	*/
	function measureLeaseInterval(): number {
		const renewalMs = settings.lease_ms / renewalsPerLease;
		return lease.token() === undefined ? Math.min(renewalMs, checkIntervalMs) : renewalMs;
	}

	async function updateLease(): Promise<void> {
		const before = lease.token();
		await lease.update(sync.isDutyCandidate());
		if (before !== undefined || lease.token() === undefined) {
			return;
		}

		reporter.start(options.toUnixTime(performance.now()));
		scaler.start();
	}

	return {
		start() {
			void runRepeatedly(measureLeaseInterval, updateLease);
			void runRepeatedly(() => checkIntervalMs, async () => {
				if (offered.has('scaling') && getProof() !== undefined && performance.now() - startedAt >= scalingDelayMs) {
					await scaler.update();
				}
			});
			void runRepeatedly(() => checkIntervalMs, async () => {
				if (offered.has('usage') && getProof() !== undefined) {
					await reporter.update(options.toUnixTime(performance.now()));
				}
			});
		},
		async close() {
			closing.abort();
			await lease.release();
			await Promise.all([store.close(), platform.close()]);
		},
	};
}
