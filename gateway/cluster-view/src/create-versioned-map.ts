import {hashEntry} from './hash-entry.ts';
import type {VersionedMap} from './versioned-map.ts';

/**
Far more than the removals that a single watch can be behind.
*/
const maximumTombstones = 10_000;

/**
Tombstones that are sent to a peer: the removals of some hours in a busy fleet.
*/
const maximumExportedTombstones = 200;

/**
 Creates a map of entries with revisions.

 @param getOrder - Order of values that takes precedence over the revision: a value that comes earlier in it is older at any revision.
 @example
 const map = createVersionedMap<string>();
 map.set('a', 'new', 7);
 map.set('a', 'old', 5); // false
 */
export function createVersionedMap<Value>(getOrder: (value: Value) => number = () => 0): VersionedMap<Value> {
	const entries = new Map<string, {readonly value: Value; readonly revision: number}>();
	const tombstones = new Map<string, number>();
	let digest = 0;

	function hashCurrentEntry(id: string): number {
		const entry = entries.get(id);
		return entry === undefined ? 0 : hashEntry(id, entry.revision);
	}

	function isNewerRevision(id: string, revision: number): boolean {
		return revision > (entries.get(id)?.revision ?? tombstones.get(id) ?? -1);
	}

	function isNewerEntry(id: string, value: Value, revision: number): boolean {
		const entry = entries.get(id);
		const difference = entry === undefined ? 0 : getOrder(value) - getOrder(entry.value);
		return difference === 0 ? isNewerRevision(id, revision) : difference > 0;
	}

	function addTombstone(id: string, revision: number): void {
		tombstones.delete(id);
		tombstones.set(id, revision);
		if (tombstones.size <= maximumTombstones) {
			return;
		}

		const [oldest = ''] = tombstones.keys();
		tombstones.delete(oldest);
	}

	return {
		get: id => entries.get(id)?.value,
		values: () => entries.values().map(({value}) => value).toArray(),
		entries: () => entries.values().toArray(),
		set(id, value, revision) {
			if (!isNewerEntry(id, value, revision)) {
				return false;
			}

			tombstones.delete(id);
			digest -= hashCurrentEntry(id);
			entries.set(id, {value, revision});
			digest += hashCurrentEntry(id);
			return true;
		},
		remove(id, revision) {
			if (!isNewerRevision(id, revision)) {
				return false;
			}

			addTombstone(id, revision);
			digest -= hashCurrentEntry(id);
			return entries.delete(id);
		},
		tombstones: () => [...tombstones].slice(-maximumExportedTombstones).map(([id, revision]) => ({id, revision})),
		hasTombstonesSince: revision => tombstones.values().toArray().slice(0, -maximumExportedTombstones).every(at => at <= revision),
		digest: () => digest,
		listMissing: (listed, revision) => [...entries].filter(([id, entry]) => !listed.has(id) && entry.revision <= revision).map(([id]) => id),
	};
}
