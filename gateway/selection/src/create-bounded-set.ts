import type {BoundedSet} from './bounded-set.ts';

/**
 Creates a set that drops the oldest name when it holds more than `limit`.

 @example
 const removed = createBoundedSet(2000);
 removed.add('i-7f~mubbs7i8');
 removed.has('i-7f~mubbs7i8'); // true
 */
export function createBoundedSet(limit: number): BoundedSet {
	const names = new Set<string>();

	return {
		add(name) {
			names.delete(name);
			names.add(name);
			if (names.size <= limit) {
				return;
			}

			const [oldest = ''] = names;
			names.delete(oldest);
		},
		has: name => names.has(name),
		remove(name) {
			names.delete(name);
		},
	};
}
