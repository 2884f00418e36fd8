import type {Logger} from '@valvesaddle/logger';
import type {PendingRemovals} from './pending-removals.ts';
import type {Removal} from './removal.ts';

type PendingRemovalsOptions = {
	readonly logger: Logger;
	/**
	Called with the removals whose entries did not register again in time.
	*/
	readonly onExpired: (removals: readonly Removal[]) => void;
};

/**
 Creates the table of removals that wait for the end of the grace period.

 @example
 const pendingRemovals = createPendingRemovals({logger, onExpired: removals => { applyRemovals(removals); }});
 pendingRemovals.setUntil(performance.now() + 2000);
 pendingRemovals.add({kind: 'endpoint-removed', id: 'i-7f', revision: 9});
 */
export function createPendingRemovals({logger, onExpired}: PendingRemovalsOptions): PendingRemovals {
	const pending = new Map<string, Removal>();
	let until = 0;
	let timer: NodeJS.Timeout | undefined;

	function expire(): void {
		timer = undefined;
		const removals = pending.values().toArray();
		pending.clear();
		onExpired(removals);
	}

	return {
		setUntil(time) {
			until = time;
		},
		isOpen: () => performance.now() < until,
		add(removal) {
			const graceMs = until - performance.now();
			if (!pending.has(removal.id)) {
				logger.info({
					name: 'entry-lapsed', id: removal.id, revision: removal.revision, graceMs: Math.round(graceMs),
				});
			}

			pending.set(removal.id, removal);
			timer ??= setTimeout(expire, graceMs);
		},
		remove(id) {
			pending.delete(id);
		},
		count: () => pending.size,
		close() {
			clearTimeout(timer);
		},
	};
}
