import type {PrefixCache} from './prefix-cache.ts';

/**
 Creates an engine's LRU cache of shared prompt parts.

 @example
 const cache = createPrefixCache();
 cache.add('felling-rules', 2500);
 cache.shrink(2000);
 cache.has('felling-rules'); // false
 */
export function createPrefixCache(): PrefixCache {
	const parts = new Map<string, number>();
	let totalTokens = 0;

	return {
		has: id => parts.has(id),
		add(id, tokens) {
			totalTokens += tokens - (parts.get(id) ?? 0);
			parts.delete(id);
			parts.set(id, tokens);
		},
		shrink(maximumTokens) {
			for (const [id, tokens] of parts) {
				if (totalTokens <= maximumTokens) {
					return;
				}

				parts.delete(id);
				totalTokens -= tokens;
			}
		},
		clear() {
			parts.clear();
			totalTokens = 0;
		},
	};
}
