import type {Logger} from '@valvesaddle/logger';
import type {PendingRemovals} from './pending-removals.ts';
import type {Removal} from './removal.ts';

type PendingRemovalsOptions = {
	readonly logger: Logger;
	/**
	Takes the removals whose entries have not come back in time.
	*/
	readonly onExpired: (removals: readonly Removal[]) => void;
};

/**
 Creates the book of entries that may have lapsed.

 @example
 const lapses = createLapseBook({logger, onExpired: removals => { applyRemovals(removals); }});
 lapses.setUntil(performance.now() + 2000);
 lapses.add({kind: 'endpoint-removed', id: 'i-7f', revision: 9});
 */
export function createPendingRemovals({logger, onExpired}: PendingRemovalsOptions): PendingRemovals {
	const lapsed = new Map<string, Removal>();
	let until = 0;
	let timer: NodeJS.Timeout | undefined;

	function expire(): void {
		timer = undefined;
		const removals = lapsed.values().toArray();
		lapsed.clear();
		onExpired(removals);
	}

	return {
		setUntil(time) {
			until = time;
		},
		isOpen: () => performance.now() < until,
		add(removal) {
			const graceMs = until - performance.now();
			if (!lapsed.has(removal.id)) {
				logger.info({
					name: 'entry-lapsed', id: removal.id, revision: removal.revision, graceMs: Math.round(graceMs),
				});
			}

			lapsed.set(removal.id, removal);
			timer ??= setTimeout(expire, graceMs);
		},
		remove(id) {
			lapsed.delete(id);
		},
		count: () => lapsed.size,
		close() {
			clearTimeout(timer);
		},
	};
}
