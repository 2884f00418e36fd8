import {setTimeout as wait} from 'node:timers/promises';
import type {ClusterChanges} from '@valvesaddle/gateway-types';
import {measureTick} from '@valvesaddle/ticks';
import {measureFleetFactor} from './measure-fleet-factor.ts';
import type {StoreFollower} from './store-follower.ts';
import type {StoreFollowerOptions} from './store-follower-options.ts';

type Outcome = 'done' | 'failed';

/**
Bounds how long a failed node stays registered in a large fleet.
*/
const maximumLeaseFactor = 2;
/**
Bounds the delay of changes in a large fleet to a few seconds.
*/
const maximumGatherFactor = 6;
/**
Minimum interval between two watches of a node that watches only until a peer confirms the state of the store, in milliseconds.
*/
const temporaryGatherMs = 1000;
/**
Renewals within the duration of a lease, for nodes for which others watch.
*/
const renewalsPerLease = 4;
/**
Random share of a delay, so that nodes don't call the store at the same time.
*/
const jitterShare = 0.5;
/**
Interval at which a node for which others watch checks whether it has to watch itself, in milliseconds.
*/
const checkIntervalMs = 250;
/**
Maximum retry delay of a node that watches for others, in milliseconds, and how often the delay doubles at most.
*/
const maximumRetryDelayMs = 1000;
const maximumDoublings = 8;
/**
Time after the first list in which a node of a fleet that starts at once may still lack other nodes, in milliseconds.
*/
const maximumSettleMs = 1000;

/**
 Creates the follower of the store. It lists all entries first and after every gap, then runs one watch after the other. Renewals of
 the node's lease show whether the store still answers while a watch waits.

 @example
 const follower = createStoreFollower({store, view, self, watchMs: 25_000, gatherMs: 50, settleMs: 300, retryMs: 400, leaseMs: 30_000, renewMs: 2000, removalGraceMs: 2000, isNeeded: () => true, isFollower: () => true, logger, metrics});
 follower.start();
 */
export function createStoreFollower(options: StoreFollowerOptions): StoreFollower {
	const {store, view, logger, metrics} = options;
	const closing = new AbortController();
	let isReachable = false;
	/**
	Whether the view has all entries of the store at its revision.
	*/
	let isFollowing = false;
	let wasLost = false;
	let reachableSince = 0;
	/**
	Calls that failed since the store was last reachable.
	*/
	let failures = 0;
	const firstReached = Promise.withResolvers<void>();
	/**
	Time of the first list. Nodes of a fleet that starts at once may not all be in it.
	*/
	let listedAt = Infinity;
	let hasWatched = false;
	let lease: string | undefined;
	/**
	Settled when the store is lost, so that the pending watch isn't waited for.
	*/
	let lost = Promise.withResolvers<'lost'>();

	function markReachable(): void {
		if (isReachable) {
			return;
		}

		isReachable = true;
		failures = 0;
		reachableSince = performance.now();
		lost = Promise.withResolvers<'lost'>();
		if (wasLost) {
			view.setRemovalGraceUntil(reachableSince + options.removalGraceMs);
		}

		firstReached.resolve();
		logger.info({name: 'kv-state', reachable: true});
	}

	/**
	A failed call that began before the store was reachable again is counted, but doesn't mark the store as lost again.
	*/
	function markLost(reason: string, startedAt: number): void {
		metrics.increment('gateway.store-failures');
		if (isReachable && startedAt < reachableSince) {
			return;
		}

		if (isReachable) {
			isReachable = false;
			wasLost = true;
			logger.warn({name: 'kv-state', reachable: false, reason});
		}

		failures++;
		lost.resolve('lost');
	}

	async function waitWithJitter(milliseconds: number): Promise<void> {
		await wait(milliseconds * (1 - (jitterShare * Math.random())), undefined, {ref: false});
	}

	/**
	Backs off exponentially, up to a second for nodes that watch for others. The other nodes of a large fleet wait longer, since refused
	calls have a cost too.
	*/
	function measureRetryDelay(): number {
		const backoffMs = Math.min(maximumRetryDelayMs, options.retryMs * (2 ** Math.min(failures, maximumDoublings)));
		return options.isFollower() ? backoffMs : Math.max(backoffMs, options.retryMs * measureFleetFactor(view.nodes().length));
	}

	async function listOnce(): Promise<Outcome> {
		const startedAt = performance.now();
		const listed = await store.list();
		return listed.match(changes => {
			markReachable();
			view.applyAll(changes, 'store');
			isFollowing = true;
			listedAt = Math.min(listedAt, performance.now());
			return 'done';
		}, error => {
			markLost(error.message, startedAt);
			return 'failed';
		});
	}

	async function watchOnce(): Promise<Outcome> {
		const watchAbort = new AbortController();
		const watched = await Promise.race([store.watch(view.revision(), options.watchMs, watchAbort.signal), lost.promise]);
		hasWatched = true;
		if (watched === 'lost') {
			// A watch that goes on would occupy one of the client's few connections, which the retries need.
			watchAbort.abort();
			return 'failed';
		}

		return watched.match((changes: ClusterChanges) => {
			// A watch without changes confirms only the revision that it began at.
			view.applyChanges(changes.changes.length === 0 ? {...changes, revision: view.revision()} : changes, 'store');
			return 'done';
		}, error => {
			metrics.increment('gateway.watches-cut');
			logger.info({name: 'store-watch-cut', reason: error.message, revision: view.revision()});
			return 'failed';
		});
	}

	/**
	A node that watches temporarily waits longer, so that peers have time to confirm the state of the store. Otherwise each change at
	the start of a large fleet would cause a call from every node.
	*/
	function measureGatherInterval(): number {
		const gatherMs = options.gatherMs * Math.min(maximumGatherFactor, measureFleetFactor(view.nodes().length));
		return options.isFollower() ? gatherMs : Math.max(gatherMs, temporaryGatherMs);
	}

	/**
	Lists the store, then watches it until a watch fails or others watch for this node.
	*/
	async function watchStore(): Promise<void> {
		if (await listOnce() === 'failed') {
			await waitWithJitter(measureRetryDelay());
			return;
		}

		// When a whole fleet starts, most entries arrive within this time.
		await waitWithJitter(options.settleMs);
		// eslint-disable-next-line no-await-in-loop -- one watch after the other
		while (!closing.signal.aborted && options.isNeeded() && await watchOnce() === 'done') {
			// eslint-disable-next-line no-await-in-loop -- batches the changes of this time
			await waitWithJitter(measureGatherInterval());
		}
	}

	async function runWatches(): Promise<void> {
		while (!closing.signal.aborted) {
			const isNeeded = options.isNeeded();
			if (isNeeded !== isFollowing) {
				metrics.increment('gateway.follow-changes');
			}

			isFollowing = false;
			// eslint-disable-next-line no-await-in-loop -- one check after the other
			await (isNeeded ? watchStore() : wait(measureTick(checkIntervalMs), undefined, {ref: false}));
		}
	}

	/**
	Factor on the duration of the lease, so that a large fleet makes fewer renewals.
	*/
	function measureLeaseFactor(): number {
		return Math.min(maximumLeaseFactor, measureFleetFactor(view.nodes().length));
	}

	function measureRenewalInterval(): number {
		return options.isNeeded() ? options.renewMs : Math.max(options.renewMs, options.leaseMs * measureLeaseFactor() / renewalsPerLease);
	}

	async function register(): Promise<void> {
		const startedAt = performance.now();
		const registered = await store.register(options.self, options.leaseMs * measureLeaseFactor());
		registered.match(registeredLease => {
			lease = registeredLease;
			if (!isFollowing) {
				markReachable();
			}
		}, error => {
			logger.warn({name: 'node-registration', isDone: false, reason: error.message});
			// Without a lease no renewal shows that the store is lost.
			markLost(error.message, startedAt);
		});
	}

	async function updateLease(): Promise<void> {
		if (lease === undefined) {
			await register();
			return;
		}

		const startedAt = performance.now();
		const renewed = await store.renew(lease);
		const isHeld = renewed.unwrapOr(true);
		renewed.match(() => {
			if (!isFollowing) {
				markReachable();
			}
		}, error => {
			markLost(error.message, startedAt);
		});
		if (isHeld) {
			return;
		}

		lease = undefined;
		await register();
	}

	async function runRenewals(): Promise<void> {
		await firstReached.promise;
		while (!closing.signal.aborted) {
			// A node for which others watch makes no other calls, so it retries with these while the store is lost.
			if (isReachable || wasLost) {
				// eslint-disable-next-line no-await-in-loop -- one renewal after the other
				await updateLease();
			}

			// eslint-disable-next-line no-await-in-loop -- the interval between renewals
			await waitWithJitter(isReachable && lease !== undefined ? measureRenewalInterval() : measureRetryDelay());
		}
	}

	return {
		start() {
			void runWatches();
			void runRenewals();
		},
		isReachable: () => isReachable,
		hasSettled: () => hasWatched || performance.now() - listedAt > maximumSettleMs,
		isSteady: () => isReachable && isFollowing && (!wasLost || performance.now() - reachableSince > options.removalGraceMs),
		async close() {
			closing.abort();
			lost.resolve('lost');
			if (lease === undefined || !isReachable) {
				return;
			}

			const released = await store.release(lease);
			released.mapErr(error => {
				logger.info({name: 'node-registration', isDone: false, reason: error.message});
			});
		},
	};
}
