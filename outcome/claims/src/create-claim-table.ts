import type {ClaimEntry} from './claim-entry.ts';
import type {ClaimTable} from './claim-table.ts';

/**
 Creates an empty table of claims.

 @example
 const table = createClaimTable(3_600_000);
 */
export function createClaimTable(windowMs: number): ClaimTable {
	const claims = new Map<string, ClaimEntry>();

	return {
		apply(entries) {
			for (const entry of entries) {
				// Keeps insertion order by age, so that a sweep can stop at the first claim in force.
				claims.delete(entry.k);
				claims.set(entry.k, entry);
			}
		},
		find(digest) {
			const entry = claims.get(digest);
			return entry === undefined || entry.x === 1 || Date.now() - entry.t >= windowMs ? undefined : entry;
		},
		sweep() {
			const now = Date.now();
			for (const [digest, entry] of claims) {
				if (now - entry.t < windowMs) {
					break;
				}

				claims.delete(digest);
			}
		},
		clear() {
			claims.clear();
		},
		size: () => claims.size,
	};
}
