import type {PartUses} from './part-uses.ts';

type Uses = {
	readonly count: number;
	readonly at: number;
};

/**
Parts kept; the least recently used are dropped first.
*/
const maximumParts = 20_000;

/**
 Creates the estimate of how many running requests use a shared part. Each placement counts one, which decays over the time that
 requests take; in a steady stream the sum is the number of those that run at once.

 @example
 const uses = createPartUses();
 uses.add({endpoint: 'i-7f', pool: 'drafting', parts: ['5c1e'], tokens: 800}, 500);
 uses.count('i-7f', '5c1e', 500); // 1
 */
export function createPartUses(): PartUses {
	const parts = new Map<string, Map<string, Uses>>();

	function countUses(endpoint: string, part: string, holdMs: number): number {
		const uses = parts.get(part)?.get(endpoint);
		return uses === undefined ? 0 : uses.count * Math.exp((uses.at - performance.now()) / holdMs);
	}

	return {
		add({endpoint, parts: placed}, holdMs) {
			for (const part of placed) {
				const uses = parts.get(part) ?? new Map<string, Uses>();
				uses.set(endpoint, {count: countUses(endpoint, part, holdMs) + 1, at: performance.now()});
				parts.delete(part);
				parts.set(part, uses);
			}

			while (parts.size > maximumParts) {
				const [oldest = ''] = parts.keys();
				parts.delete(oldest);
			}
		},
		count: countUses,
		removeEndpoint(endpoint) {
			for (const uses of parts.values()) {
				uses.delete(endpoint);
			}
		},
	};
}
