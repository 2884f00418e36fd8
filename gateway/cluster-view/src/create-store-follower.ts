import {setTimeout as wait} from 'node:timers/promises';
import type {ClusterChanges} from '@valvesaddle/gateway-types';
import {measureTick} from '@valvesaddle/ticks';
import {measureFleetFactor} from './measure-fleet-factor.ts';
import type {StoreFollower} from './store-follower.ts';
import type {StoreFollowerOptions} from './store-follower-options.ts';

type Outcome = 'done' | 'failed';

/**
Most that the term of a lease grows with the fleet: so long may a node that was lost stay listed.
*/
const longestTermFactor = 2;
/**
Most that the pause between two watches grows with the fleet: a change has to be in force everywhere in seconds.
*/
const longestGatherFactor = 6;
/**
Pause between two watches of a node that watches only until a peer speaks for the store, in milliseconds.
*/
const unplannedGatherMs = 1000;
/**
Parts of the term of a lease within which it is renewed by nodes that others watch for.
*/
const renewalsPerTerm = 4;
/**
Share of a pause that is drawn by lot, so that nodes do not call in step.
*/
const jitterShare = 0.5;
/**
How often a node for which others watch asks whether it has to watch itself, in milliseconds.
*/
const askMs = 250;
/**
Longest pause before a call that failed is tried again by a node that watches for others, in milliseconds, and how often the pause doubles
at most.
*/
const longestRetryMs = 1000;
const mostDoublings = 8;
/**
Longest time after its list in which a node may still miss the others of a fleet that starts at once, in milliseconds.
*/
const longestSettleMs = 1000;

/**
 Creates the follower of the store: a list at first and after every gap, then one watch after the other. Renewals of the
 node's lease show whether the store still answers while a watch waits.

 @example
 const follower = createStoreFollower({store, view, self, watchMs: 25_000, gatherMs: 50, settleMs: 300, retryMs: 400, leaseMs: 30_000, renewMs: 2000, lapseGraceMs: 2000, isNeeded: () => true, isFollower: () => true, logger, metrics});
 follower.start();
 */
export function createStoreFollower(options: StoreFollowerOptions): StoreFollower {
	const {store, view, logger, metrics} = options;
	const closing = new AbortController();
	let isReachable = false;
	/**
	Whether the view holds all that the store held at its revision.
	*/
	let isFollowing = false;
	let wasLost = false;
	let reachableSince = 0;
	/**
	Calls that failed since the store was reached last.
	*/
	let failures = 0;
	const firstReached = Promise.withResolvers<void>();
	/**
	When the first list came; nodes of a fleet that starts at once are not all in it.
	*/
	let listedAt = Infinity;
	let hasWatched = false;
	let lease: string | undefined;
	/**
	Settled when the store is lost, so that nobody waits for a watch that will not answer.
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
	A call that failed after the store was reached again, and began before, says nothing of the store now.
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

	async function waitAbout(milliseconds: number): Promise<void> {
		await wait(milliseconds * (1 - (jitterShare * Math.random())), undefined, {ref: false});
	}

	/**
	Refused calls are paid for too. Those that watch for others look for the store's return once a second after some tries; the
	rest of a fleet need not be the first to know of it.
	*/
	function measureRetry(): number {
		const backoffMs = Math.min(longestRetryMs, options.retryMs * (2 ** Math.min(failures, mostDoublings)));
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
		const ending = new AbortController();
		const watched = await Promise.race([store.watch(view.revision(), options.watchMs, ending.signal), lost.promise]);
		hasWatched = true;
		if (watched === 'lost') {
			// A watch that went on would keep one of the client's few connections from the calls that find the store again.
			ending.abort();
			return 'failed';
		}

		return watched.match((changes: ClusterChanges) => {
			// A watch that brings nothing confirms nothing after the revision that it began at.
			view.applyChanges(changes.changes.length === 0 ? {...changes, revision: view.revision()} : changes, 'store');
			return 'done';
		}, error => {
			metrics.increment('gateway.watches-cut');
			logger.info({name: 'store-watch-cut', reason: error.message, revision: view.revision()});
			return 'failed';
		});
	}

	/**
	A node that others are to watch for leaves them time to say so: at the start of a large fleet each change of its nodes
	would bring a call of every one of them.
	*/
	function measureGather(): number {
		const gatherMs = options.gatherMs * Math.min(longestGatherFactor, measureFleetFactor(view.nodes().length));
		return options.isFollower() ? gatherMs : Math.max(gatherMs, unplannedGatherMs);
	}

	/**
	A list, then watches until one fails or others watch for this node.
	*/
	async function watchStore(): Promise<void> {
		if (await listOnce() === 'failed') {
			await waitAbout(measureRetry());
			return;
		}

		// At a start of the whole fleet most entries come within this time.
		await waitAbout(options.settleMs);
		// eslint-disable-next-line no-await-in-loop -- one watch after the other
		while (!closing.signal.aborted && options.isNeeded() && await watchOnce() === 'done') {
			// eslint-disable-next-line no-await-in-loop -- changes of this time come together
			await waitAbout(measureGather());
		}
	}

	async function runWatches(): Promise<void> {
		while (!closing.signal.aborted) {
			const isNeeded = options.isNeeded();
			if (isNeeded !== isFollowing) {
				metrics.increment('gateway.follow-changes');
			}

			isFollowing = false;
			// eslint-disable-next-line no-await-in-loop -- one turn after the other
			await (isNeeded ? watchStore() : wait(measureTick(askMs), undefined, {ref: false}));
		}
	}

	/**
	Factor on the term of the lease, so that the renewals of a large fleet stay few.
	*/
	function measureTermFactor(): number {
		return Math.min(longestTermFactor, measureFleetFactor(view.nodes().length));
	}

	function measureRenewal(): number {
		return options.isNeeded() ? options.renewMs : Math.max(options.renewMs, options.leaseMs * measureTermFactor() / renewalsPerTerm);
	}

	async function register(): Promise<void> {
		const startedAt = performance.now();
		const registered = await store.register(options.self, options.leaseMs * measureTermFactor());
		registered.match(opened => {
			lease = opened;
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
			// A node for which others watch makes no other calls, so it goes on with these while the store is lost.
			if (isReachable || wasLost) {
				// eslint-disable-next-line no-await-in-loop -- one renewal after the other
				await updateLease();
			}

			// eslint-disable-next-line no-await-in-loop -- the pause between renewals
			await waitAbout(isReachable && lease !== undefined ? measureRenewal() : measureRetry());
		}
	}

	return {
		start() {
			void runWatches();
			void runRenewals();
		},
		isReachable: () => isReachable,
		hasSettled: () => hasWatched || performance.now() - listedAt > longestSettleMs,
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
