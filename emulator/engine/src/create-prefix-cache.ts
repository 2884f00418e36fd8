import type {PrefixCache} from './prefix-cache.ts';

/**
 Creates an engine's memory of shared prompt parts; the least recently used go first.

 @example
 const memory = createPromptMemory();
 memory.add('felling-rules', 2500);
 memory.shrink(2000);
 memory.has('felling-rules'); // false
 */
export function createPrefixCache(): PrefixCache {
	const parts = new Map<string, number>();
	let sum = 0;

	return {
		has: id => parts.has(id),
		add(id, tokens) {
			sum += tokens - (parts.get(id) ?? 0);
			parts.delete(id);
			parts.set(id, tokens);
		},
		shrink(most) {
			for (const [id, tokens] of parts) {
				if (sum <= most) {
					return;
				}

				parts.delete(id);
				sum -= tokens;
			}
		},
		clear() {
			parts.clear();
			sum = 0;
		},
	};
}
