import type {SeenRevisions} from './seen-revisions.ts';

/**
More than the keys of a store, unless other programs write many to it.
*/
const maximumKeys = 10_000;

/**
 Creates a table of the revisions that were seen, so that each is logged once.

 @example
 const seenRevisions = createSeenRevisions();
 seenRevisions.add('endpoints/i-7f', 7); // true
 seenRevisions.add('endpoints/i-7f', 7); // false
 */
export function createSeenRevisions(): SeenRevisions {
	const revisions = new Map<string, number>();

	return {
		add(key, revision) {
			if (revision <= (revisions.get(key) ?? -1)) {
				return false;
			}

			revisions.delete(key);
			revisions.set(key, revision);
			if (revisions.size > maximumKeys) {
				const [oldest = ''] = revisions.keys();
				revisions.delete(oldest);
			}

			return true;
		},
	};
}
