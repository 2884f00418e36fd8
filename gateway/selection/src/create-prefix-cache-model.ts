import type {PromptPart} from '@valvesaddle/gateway-types';
import type {PrefixCacheModel} from './prefix-cache-model.ts';

type CachedPart = {
	readonly usedAt: number;
	/**
	Total of tokens added at the endpoint when the part was last used.
	*/
	readonly added: number;
};

/**
Share of an endpoint's cache that keeps prefixes; running requests need the rest.
*/
const usableCacheShare = 0.7;
/**
Parts kept in the model; the least recently used are dropped first.
*/
const maximumParts = 20_000;

/**
 Creates the model of the endpoints' prefix caches. An endpoint evicts the least recently used parts, so a part counts as cached
 until more tokens than the cache keeps have been added since its last use.

 @example
 const prefixes = createPrefixCacheModel({reuseMs: 10_000});
 prefixes.add({endpoint: 'i-7f', parts: ['5c1e'], tokens: 800});
 prefixes.countCached('i-7f', [{id: '5c1e', tokens: 800}, {id: 'own', tokens: 20}]); // 800
 */
export function createPrefixCacheModel({reuseMs}: {readonly reuseMs: number}): PrefixCacheModel {
	const parts = new Map<string, Map<string, CachedPart>>();
	const added = new Map<string, number>();
	const capacities = new Map<string, number>();

	function isCached(endpoint: string, cached: CachedPart): boolean {
		return (added.get(endpoint) ?? 0) - cached.added <= usableCacheShare * (capacities.get(endpoint) ?? Infinity);
	}

	function addPart(id: string, endpoint: string): void {
		const copies = parts.get(id) ?? new Map<string, CachedPart>();
		copies.set(endpoint, {usedAt: performance.now(), added: added.get(endpoint) ?? 0});
		parts.delete(id);
		parts.set(id, copies);
	}

	return {
		add(placement) {
			added.set(placement.endpoint, (added.get(placement.endpoint) ?? 0) + placement.tokens);
			for (const id of placement.parts) {
				addPart(id, placement.endpoint);
			}

			while (parts.size > maximumParts) {
				const [oldest = ''] = parts.keys();
				parts.delete(oldest);
			}
		},
		countCached(endpoint, prompt) {
			let tokens = 0;
			for (const part of listShared(prompt)) {
				const cached = parts.get(part.id)?.get(endpoint);
				if (cached === undefined || !isCached(endpoint, cached)) {
					break;
				}

				tokens += part.tokens;
			}

			return tokens;
		},
		countRecent(prompt) {
			const oldest = performance.now() - reuseMs;
			let tokens = 0;
			for (const part of listShared(prompt)) {
				const copies = parts.get(part.id);
				if (copies?.values().some(({usedAt}) => usedAt >= oldest)) {
					tokens += part.tokens;
				}
			}

			return tokens;
		},
		setCapacity(endpoint, tokens) {
			capacities.set(endpoint, tokens);
		},
		removeEndpoint(endpoint) {
			added.delete(endpoint);
			capacities.delete(endpoint);
			for (const copies of parts.values()) {
				copies.delete(endpoint);
			}
		},
	};
}

/**
Leaves out the last part, which belongs to the request itself.
*/
function listShared(prompt: readonly PromptPart[]): readonly PromptPart[] {
	return prompt.slice(0, -1);
}
