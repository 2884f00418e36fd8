import {updateAverage} from '@valvesaddle/policy';
import {createWaitingQueue} from '@valvesaddle/queue';
import {
	compareWaiting,
	decideWaiting,
	isPastCheck,
	rankWaiting,
} from '@valvesaddle/waiting';
import type {Waiter} from './waiter.ts';
import type {WaitingEntry} from './waiting-entry.ts';
import type {WaitingPool} from './waiting-pool.ts';

/**
Interval between two requests that can be sent before any was seen, in milliseconds: a request of some 600 ms at each of 16 slots.
*/
const firstIntervalMs = 40;
const intervalWeight = 0.1;
/**
Part of the requests sent that each class but the most urgent gets while it waits, so that none starves.
*/
const guaranteedShare = 0.1;
/**
Accounts of a class that are asked in one look: one whose request fits nowhere must not keep the others from being sent.
*/
const mostHeads = 4;

/**
 Creates the waiting requests of one pool: by class, then by client account in turn, then by `compareWaiting`.

 @example
 const pool = createWaitingPool();
 pool.push(entry);
 pool.listNext()[0] === entry; // true
 */
export function createWaitingPool(): WaitingPool {
	const queue = createWaitingQueue<WaitingEntry>();
	const entries = new Set<WaitingEntry>();
	let intervalMs: number | undefined;
	let lastSentAt = 0;

	function listClasses(): readonly string[] {
		return rankWaiting(queue.views());
	}

	function getIntervalMs(): number {
		return intervalMs ?? firstIntervalMs;
	}

	function removeEntry(entry: WaitingEntry): void {
		if (entries.delete(entry)) {
			queue.remove(entry.id);
		}
	}

	function predictMs({className, rank, account}: Pick<Waiter, 'className' | 'rank' | 'account'>, roomInMs: number, accountAhead = queue.accountWaiting(className, account)): number {
		let ahead = Math.min(queue.waiting(className), accountAhead * queue.accountShares(className, account));
		for (const {requestClass, waiting} of queue.views()) {
			ahead += requestClass.priority < rank ? waiting : 0;
		}

		return roomInMs + (ahead * getIntervalMs());
	}

	/**
	Groups of requests that take their turns one after the other, each in its order.
	*/
	function listGroups(): ReadonlyArray<readonly WaitingEntry[]> {
		const groups = Map.groupBy(entries, ({waiter}) => `${waiter.className} ${waiter.account}`);
		return groups.values().map(group => group.toSorted((a, b) => compareWaiting(toOrder(a), toOrder(b)))).toArray();
	}

	function canGoOn(entry: WaitingEntry, roomInMs: number, ahead: number): boolean {
		const {waiter, enteredAt} = entry;
		const now = performance.now();
		const input = {
			isUrgent: waiter.rank === 0, isPromised: waiter.isPromised, waitedMs: now - enteredAt, serviceMs: waiter.serviceMs, objectiveMs: waiter.objectiveMs, leftMs: waiter.objectiveAt - now,
		};
		const decision = decideWaiting({...input, isHeld: entry.isHeld, roomInMs: predictMs(waiter, roomInMs, ahead)});
		entry.isHeld ||= decision === 'wait' && isPastCheck(input);
		return decision === 'wait' && (waiter.rank === 0 || now < (waiter.latestAt ?? Infinity));
	}

	return {
		push(entry) {
			const {id, waiter} = entry;
			queue.configure([toClass(waiter)], new Map());
			lastSentAt = entries.size === 0 ? performance.now() : lastSentAt;
			entries.add(entry);
			queue.push({
				...toOrder(entry), requestId: id, className: waiter.className, account: waiter.account, ranMs: 0, value: entry,
			});
		},
		remove: removeEntry,
		listNext: () => listClasses().flatMap(className => queue.heads(className, mostHeads).map(({value}) => value)),
		markSent(entry) {
			const {waiter: {className, account, tokens}} = entry;
			const now = performance.now();
			intervalMs = updateAverage(intervalMs, now - lastSentAt, intervalWeight);
			lastSentAt = now;
			queue.charge(className, account, tokens);
			queue.recordGrant(className, false);
			removeEntry(entry);
		},
		listWithdrawn() {
			const rooms = new Map<string, number>();
			return listGroups().flatMap(group => group.flatMap((entry, ahead) => {
				const {className} = entry.waiter;
				const roomInMs = rooms.get(className) ?? entry.waiter.getRoomInMs();
				rooms.set(className, roomInMs);
				return roomInMs < Infinity && canGoOn(entry, roomInMs, ahead) ? [] : [{entry, roomInMs}];
			}));
		},
		findDroppable(account) {
			const views = queue.views().toSorted((a, b) => b.requestClass.priority - a.requestClass.priority);
			const last = views.map(({requestClass}) => queue.last(requestClass.name, account)?.value);
			return last.find(entry => entry !== undefined && entry.waiter.rank > 0 && !entry.waiter.isPromised);
		},
		predictMs,
		getIntervalMs,
		count: () => entries.size,
	};
}

function toOrder({waiter}: WaitingEntry): Parameters<typeof compareWaiting>[0] {
	return {arrivedAt: waiter.arrivedAt, hasReturned: waiter.hasReturned, dueAt: waiter.objectiveAt - waiter.serviceMs};
}

/**
All classes are ordered by priority, as by engines, and keep their guarantee.
*/
function toClass({className, rank, objectiveMs}: Waiter): Parameters<ReturnType<typeof createWaitingQueue>['configure']>[0][number] {
	return {
		name: className, priority: rank, urgent: true, firstTokenTargetMs: objectiveMs, maximumWaitMs: objectiveMs, weight: 1, floor: rank === 0 ? 0 : guaranteedShare,
	};
}
