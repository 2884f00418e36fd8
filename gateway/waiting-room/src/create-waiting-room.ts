import {chooseDropped, createReturnPlan, type AccountUse} from '@valvesaddle/waiting';
import {createWaitingPool} from './create-waiting-pool.ts';
import type {Waiter} from './waiter.ts';
import type {WaitingEntry} from './waiting-entry.ts';
import type {WaitingPool} from './waiting-pool.ts';
import type {WaitingRoom} from './waiting-room.ts';
import type {WaitingRoomOptions} from './waiting-room-options.ts';
import type {WithdrawalReason} from './withdrawal-reason.ts';

/**
Interval at which the room looks for endpoints while anything waits, and shortest time between two looks, in milliseconds.
*/
const lookMs = 20;
const soonMs = 2;
/**
Longest time that a refused caller is asked to stay away, in milliseconds: about as long as bursts last.
*/
const longestReturnMs = 5000;

/**
 Creates the waiting room of a node. It holds a bounded number of requests and bytes; when it is full, the account that uses most of it
 loses a request that is neither urgent nor promised.

 @example
 const room = createWaitingRoom({most: 1000, mostBytes: 64_000_000, returnFactor: 1.5, turns, logger, metrics});
 const leave = room.enter(waiter);
 */
export function createWaitingRoom({most, mostBytes, returnFactor, turns, logger, metrics}: WaitingRoomOptions): WaitingRoom {
	const pools = new Map<string, WaitingPool>();
	const entries = new Set<WaitingEntry>();
	const uses = new Map<string, {count: number; bytes: number}>();
	const returns = createReturnPlan({mostMs: longestReturnMs});
	let bytes = 0;
	let entered = 0;
	let timer: NodeJS.Timeout | undefined;
	let lookAt = 0;
	let checkedAt = -Infinity;

	function getPool(name: string): WaitingPool {
		const pool = pools.get(name) ?? createWaitingPool();
		pools.set(name, pool);
		return pool;
	}

	function addUse({account, bytes: added}: Waiter, sign: 1 | -1): void {
		const use = uses.get(account) ?? {count: 0, bytes: 0};
		uses.set(account, {count: use.count + sign, bytes: use.bytes + (sign * added)});
		bytes += sign * added;
		if (use.count + sign === 0) {
			uses.delete(account);
		}
	}

	/**
	Removes a request from the room; `false` if it has left already.
	*/
	function didRemove(entry: WaitingEntry, outcome: string): boolean {
		if (!entries.delete(entry)) {
			return false;
		}

		const {waiter, enteredAt} = entry;
		getPool(waiter.pool).remove(entry);
		addUse(waiter, -1);
		metrics.gauge('gateway.waiting', entries.size);
		metrics.increment('gateway.waited', 1, {outcome});
		logger.info({
			name: 'request-waited', request: waiter.requestId, pool: waiter.pool, route: waiter.route, waitedMs: Math.round(performance.now() - enteredAt), outcome, waiting: entries.size,
		});
		return true;
	}

	function planReturnMs({pool, className, account}: Pick<Waiter, 'pool' | 'className' | 'account'>, roomInMs: number): number {
		const intervalMs = getPool(pool).getIntervalMs();
		return returns.planMs(`${pool} ${className} ${account}`, {roomInMs: Math.min(longestReturnMs, roomInMs * returnFactor), intervalMs, draw: Math.random()});
	}

	function refuse(entry: WaitingEntry, reason: WithdrawalReason, roomInMs: number): void {
		if (!didRemove(entry, reason)) {
			return;
		}

		const {waiter} = entry;
		metrics.increment('gateway.withdrawn', 1, {reason});
		waiter.onWithdrawn(reason, planReturnMs(waiter, getPool(waiter.pool).predictMs(waiter, roomInMs)));
	}

	function measureShare({count, bytes: used}: {readonly count: number; readonly bytes: number}): number {
		return Math.max(count / most, used / mostBytes);
	}

	function findDroppable(account: string): WaitingEntry | undefined {
		for (const pool of pools.values()) {
			const entry = pool.findDroppable(account);
			if (entry !== undefined) {
				return entry;
			}
		}

		return undefined;
	}

	function listUses(): readonly AccountUse[] {
		return uses.entries().map(([account, use]) => ({account, share: measureShare(use), hasDroppable: findDroppable(account) !== undefined})).toArray();
	}

	/**
	Request that is dropped for a new one; `undefined` if the new one is refused. An urgent one takes the place of any that may be dropped.
	*/
	function findDropped({account, rank, bytes: added}: Waiter): WaitingEntry | undefined {
		const use = uses.get(account) ?? {count: 0, bytes: 0};
		const share = rank === 0 ? 0 : measureShare({count: use.count + 1, bytes: use.bytes + added});
		const dropped = chooseDropped(listUses(), {account: rank === 0 ? '' : account, share});
		return dropped === undefined ? undefined : findDroppable(dropped);
	}

	/**
	Makes room for a new request; `false` if there is none for it.
	*/
	function didMakeRoom(waiter: Waiter): boolean {
		while (entries.size + 1 > most || bytes + waiter.bytes > mostBytes) {
			const dropped = waiter.bytes > mostBytes ? undefined : findDropped(waiter);
			if (dropped === undefined) {
				return false;
			}

			refuse(dropped, 'full', dropped.waiter.getRoomInMs());
		}

		return true;
	}

	/**
	Sends the first request that an endpoint has room for; `false` if there is none.
	*/
	function didSend(pool: WaitingPool): boolean {
		for (const entry of pool.listNext()) {
			const outcome = entries.has(entry) ? entry.waiter.send(turns.hasTurn) : undefined;
			if (outcome?.kind === 'sent') {
				turns.take(outcome.incarnation);
				pool.markSent(entry);
				didRemove(entry, 'sent');
				return true;
			}

			if (outcome?.kind === 'ended') {
				didRemove(entry, 'ended');
				return true;
			}
		}

		return false;
	}

	function refuseHopeless(): void {
		const now = performance.now();
		if (now - checkedAt < lookMs) {
			return;
		}

		checkedAt = now;
		for (const {entry, roomInMs} of pools.values().flatMap(pool => pool.listWithdrawn())) {
			refuse(entry, roomInMs === Infinity ? 'no-endpoint' : 'hopeless', roomInMs);
		}
	}

	function runLook(): void {
		timer = undefined;
		refuseHopeless();
		for (const pool of pools.values()) {
			while (didSend(pool)) {
				// Each iteration sends one request.
			}
		}

		startTimer(lookMs);
	}

	function startTimer(milliseconds: number): void {
		const at = performance.now() + milliseconds;
		if (entries.size === 0 || (timer !== undefined && lookAt <= at)) {
			return;
		}

		clearTimeout(timer);
		lookAt = at;
		timer = setTimeout(runLook, milliseconds);
	}

	return {
		predictMs: (waiter, roomInMs) => getPool(waiter.pool).predictMs(waiter, roomInMs),
		planReturnMs,
		enter(waiter) {
			const entry: WaitingEntry = {
				id: String(entered++), waiter, enteredAt: performance.now(), isHeld: false,
			};
			if (!didMakeRoom(waiter)) {
				metrics.increment('gateway.withdrawn', 1, {reason: 'full'});
				const roomInMs = getPool(waiter.pool).predictMs(waiter, waiter.getRoomInMs());
				waiter.onWithdrawn('full', planReturnMs(waiter, roomInMs));
				return () => undefined;
			}

			entries.add(entry);
			addUse(waiter, 1);
			getPool(waiter.pool).push(entry);
			metrics.gauge('gateway.waiting', entries.size);
			startTimer(soonMs);
			return () => {
				didRemove(entry, 'left');
			};
		},
		wake(incarnation) {
			if (incarnation !== undefined) {
				turns.recordFreed(incarnation);
			}

			startTimer(soonMs);
		},
		count: () => entries.size,
	};
}
