import type {WaitingOrder} from './waiting-order.ts';

/**
 Orders two waiting requests of one client account and class: a caller that has come back first, since it was promised room; then the
 one with less time left; then the one that arrived first. Negative if the first argument is served first.

 @example
 compareWaiting({arrivedAt: 5, hasReturned: true}, {arrivedAt: 0}); // -1
 */
export function compareWaiting(a: WaitingOrder, b: WaitingOrder): number {
	const byReturn = Number(b.hasReturned ?? false) - Number(a.hasReturned ?? false);
	if (byReturn !== 0) {
		return byReturn;
	}

	const bySlack = a.dueAt === undefined || b.dueAt === undefined ? 0 : a.dueAt - b.dueAt;
	return bySlack === 0 ? a.arrivedAt - b.arrivedAt : bySlack;
}
