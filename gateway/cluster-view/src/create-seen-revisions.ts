import type {SeenRevisions} from './seen-revisions.ts';

/**
Keys that are kept, more than a store holds that foreign writers have not filled.
*/
const mostKeys = 10_000;

/**
 Creates marks of revisions, so that what is met again is told of once.

 @example
 const marks = createRevisionMarks();
 marks.mark('endpoints/i-7f', 7); // true
 marks.mark('endpoints/i-7f', 7); // false
 */
export function createSeenRevisions(): SeenRevisions {
	const marks = new Map<string, number>();

	return {
		add(key, revision) {
			if (revision <= (marks.get(key) ?? -1)) {
				return false;
			}

			marks.delete(key);
			marks.set(key, revision);
			if (marks.size > mostKeys) {
				const [oldest = ''] = marks.keys();
				marks.delete(oldest);
			}

			return true;
		},
	};
}
