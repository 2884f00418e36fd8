import type {RequestClass} from '@valvesaddle/types';
import type {ClassView} from '@valvesaddle/policy';
import {addVirtualTokens, chooseAccount, findMinimumTokens} from '@valvesaddle/shares';
import {compareWaiting} from '@valvesaddle/waiting';
import type {AccountQueue} from './account-queue.ts';
import type {ClassQueue} from './class-queue.ts';
import type {QueuedRequest} from './queued-request.ts';
import type {WaitingQueue} from './waiting-queue.ts';

/**
Minimum floor of a class that is not urgent, so that no class starves.
*/
const minimumFloor = 0.01;
/**
Maximum number of grants that a class accrues under its floor.
*/
const maximumFloorCredit = 2;

/**
 Creates the queue of a pool. Within a class, the account with the fewest served tokens for its weight comes first;
 within an account, the order is that of `compareWaiting`. Accounts and classes accrue no credit while they are idle.

 @example
 const queue = createWaitingQueue<string>();
 queue.configure(classes, new Map([['sawmill', 1]]));
 */
export function createWaitingQueue<Value>(): WaitingQueue<Value> {
	const classes = new Map<string, ClassQueue<Value>>();
	const byRequest = new Map<string, QueuedRequest<Value>>();
	let weights: ReadonlyMap<string, number> = new Map();

	function getClass(className: string): ClassQueue<Value> {
		const existing = classes.get(className);
		if (existing !== undefined) {
			return existing;
		}

		const created = createClassQueue<Value>(createUnknownClass(className));
		classes.set(className, created);
		return created;
	}

	function getAccount(classQueue: ClassQueue<Value>, account: string): AccountQueue<Value> {
		const existing = classQueue.accounts.get(account);
		if (existing !== undefined) {
			return existing;
		}

		const created: AccountQueue<Value> = {
			account, weight: weights.get(account) ?? 1, items: [], virtualTokens: 0, waiting: 0,
		};
		classQueue.accounts.set(account, created);
		return created;
	}

	function removeItem(item: QueuedRequest<Value>): void {
		const classQueue = getClass(item.className);
		const accountQueue = getAccount(classQueue, item.account);
		const index = accountQueue.items.indexOf(item);
		accountQueue.items.splice(index, 1);
		accountQueue.waiting--;
		classQueue.waiting--;
		if (accountQueue.waiting === 0) {
			classQueue.active.delete(item.account);
		}

		byRequest.delete(item.requestId);
	}

	function takeWhere(isMatch: (item: QueuedRequest<Value>) => boolean): ReadonlyArray<QueuedRequest<Value>> {
		const removed = byRequest.values().filter(item => isMatch(item)).toArray();
		for (const item of removed) {
			removeItem(item);
		}

		return removed;
	}

	return {
		configure(requestClasses, accountWeights) {
			weights = accountWeights;
			for (const requestClass of requestClasses) {
				getClass(requestClass.name).requestClass = withFloor(requestClass);
			}

			for (const classQueue of classes.values()) {
				for (const [account, queue] of classQueue.accounts) {
					classQueue.accounts.set(account, queue.waiting === 0 ? {...queue, weight: weights.get(account) ?? 1} : queue);
				}
			}
		},
		push(item) {
			const classQueue = getClass(item.className);
			const accountQueue = getAccount(classQueue, item.account);
			if (classQueue.waiting === 0) {
				adjustVirtualTokens(classQueue, classes.values());
			}

			if (accountQueue.waiting === 0) {
				accountQueue.virtualTokens = Math.max(accountQueue.virtualTokens, findMinimumTokens(classQueue.active.values()) ?? 0);
				classQueue.active.set(item.account, accountQueue);
			}

			addInOrder(accountQueue.items, item);
			accountQueue.waiting++;
			classQueue.waiting++;
			byRequest.set(item.requestId, item);
		},
		peek(className) {
			const classQueue = getClass(className);
			const account = chooseAccount(classQueue.active.values());
			return account === undefined ? undefined : classQueue.active.get(account)?.items[0];
		},
		heads(className, most) {
			const active = classes.get(className)?.active.values().toArray() ?? [];
			return active.toSorted((a, b) => a.virtualTokens - b.virtualTokens).slice(0, most).flatMap(({items}) => items.slice(0, 1));
		},
		last: (className, account) => classes.get(className)?.active.get(account)?.items.at(-1),
		remove(requestId) {
			const item = byRequest.get(requestId);
			if (item !== undefined) {
				removeItem(item);
			}

			return item;
		},
		takeExpired: now => takeWhere(({className, arrivedAt, ranMs}) => now - arrivedAt - ranMs >= getClass(className).requestClass.maximumWaitMs),
		takeWhere,
		charge(className, account, tokens) {
			const classQueue = getClass(className);
			const accountQueue = getAccount(classQueue, account);
			classQueue.virtualTokens = addVirtualTokens(classQueue.virtualTokens, tokens, classQueue.requestClass.weight);
			accountQueue.virtualTokens = addVirtualTokens(accountQueue.virtualTokens, tokens, accountQueue.weight);
		},
		recordGrant(className, isFloor) {
			for (const [name, classQueue] of classes) {
				if (name === className) {
					classQueue.floorCredit = isFloor ? classQueue.floorCredit - 1 : Math.max(0, classQueue.floorCredit - 1);
				} else if (classQueue.waiting > 0) {
					classQueue.floorCredit = Math.min(maximumFloorCredit, classQueue.floorCredit + classQueue.requestClass.floor);
				}
			}
		},
		views: () => classes.values().toArray(),
		waiting: className => classes.get(className)?.waiting ?? 0,
		accountWaiting: (className, account) => classes.get(className)?.accounts.get(account)?.waiting ?? 0,
		accountShares(className, account) {
			const own = weights.get(account) ?? 1;
			let sum = own;
			for (const queue of classes.get(className)?.active.values() ?? []) {
				sum += queue.account === account ? 0 : queue.weight;
			}

			return sum / own;
		},
		size: () => byRequest.size,
	};
}

function createClassQueue<Value>(requestClass: RequestClass): ClassQueue<Value> & ClassView {
	return {
		requestClass, accounts: new Map(), active: new Map(), waiting: 0, virtualTokens: 0, floorCredit: 0,
	};
}

/**
Defaults for a class that this node's configuration does not contain: it was removed, or is only in a newer revision.
*/
function createUnknownClass(name: string): RequestClass {
	return {
		name, priority: 99, urgent: false, firstTokenTargetMs: 10_000, maximumWaitMs: 10_000, weight: 1, floor: minimumFloor,
	};
}

function withFloor(requestClass: RequestClass): RequestClass {
	return requestClass.urgent ? requestClass : {...requestClass, floor: Math.max(minimumFloor, requestClass.floor)};
}

function adjustVirtualTokens<Value>(classQueue: ClassQueue<Value>, all: Iterable<ClassQueue<Value>>): void {
	const others = [...all].filter(other => other !== classQueue && other.waiting > 0 && !other.requestClass.urgent);
	classQueue.virtualTokens = Math.max(classQueue.virtualTokens, findMinimumTokens(others) ?? -Infinity);
}

function addInOrder<Value>(items: Array<QueuedRequest<Value>>, item: QueuedRequest<Value>): void {
	let low = 0;
	let high = items.length;
	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		if (compareWaiting(items[middle]!, item) <= 0) {
			low = middle + 1;
		} else {
			high = middle;
		}
	}

	items.splice(low, 0, item);
}
