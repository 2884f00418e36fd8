import {hashEntry} from './hash-entry.ts';
import type {VersionedMap} from './versioned-map.ts';

/**
Marks of removed entries that are kept; far more than one watch can be behind.
*/
const mostMarks = 10_000;

/**
Marks that a peer is told; as many as a busy fleet makes in some hours.
*/
const mostMarksTold = 200;

/**
 Creates a map of entries with revisions.

 @param getOrder - Order of values that goes before the revision: an entry that is behind in it is older at any revision.
 @example
 const map = createVersionedMap<string>();
 map.set('a', 'new', 7);
 map.set('a', 'old', 5); // false
 */
export function createVersionedMap<Value>(getOrder: (value: Value) => number = () => 0): VersionedMap<Value> {
	const entries = new Map<string, {readonly value: Value; readonly revision: number}>();
	const marks = new Map<string, number>();
	let digest = 0;

	function measureEntry(id: string): number {
		const entry = entries.get(id);
		return entry === undefined ? 0 : hashEntry(id, entry.revision);
	}

	function isNewer(id: string, revision: number): boolean {
		return revision > (entries.get(id)?.revision ?? marks.get(id) ?? -1);
	}

	function isLater(id: string, value: Value, revision: number): boolean {
		const entry = entries.get(id);
		const step = entry === undefined ? 0 : getOrder(value) - getOrder(entry.value);
		return step === 0 ? isNewer(id, revision) : step > 0;
	}

	function addMark(id: string, revision: number): void {
		marks.delete(id);
		marks.set(id, revision);
		if (marks.size <= mostMarks) {
			return;
		}

		const [oldest = ''] = marks.keys();
		marks.delete(oldest);
	}

	return {
		get: id => entries.get(id)?.value,
		values: () => entries.values().map(({value}) => value).toArray(),
		entries: () => entries.values().toArray(),
		set(id, value, revision) {
			if (!isLater(id, value, revision)) {
				return false;
			}

			marks.delete(id);
			digest -= measureEntry(id);
			entries.set(id, {value, revision});
			digest += measureEntry(id);
			return true;
		},
		remove(id, revision) {
			if (!isNewer(id, revision)) {
				return false;
			}

			addMark(id, revision);
			digest -= measureEntry(id);
			return entries.delete(id);
		},
		tombstones: () => [...marks].slice(-mostMarksTold).map(([id, revision]) => ({id, revision})),
		hasTombstonesSince: revision => marks.values().toArray().slice(0, -mostMarksTold).every(at => at <= revision),
		digest: () => digest,
		listMissing: (listed, revision) => [...entries].filter(([id, entry]) => !listed.has(id) && entry.revision <= revision).map(([id]) => id),
	};
}
