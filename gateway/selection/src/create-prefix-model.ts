import type {PromptPart} from '@valvesaddle/gateway-types';
import type {PrefixModel} from './prefix-model.ts';

type Held = {
	readonly at: number;
	/**
	Tokens that had been added at the endpoint when the part was last used.
	*/
	readonly added: number;
};

/**
Part of an endpoint's memory that is trusted to hold what was used last; requests that run need the rest.
*/
const trustedShare = 0.7;
/**
Parts remembered; the least recently used go first.
*/
const mostParts = 20_000;

/**
 Creates the model of what endpoints hold. An endpoint drops what was used least recently, so a part is held as long as
 fewer tokens than its memory were added since.

 @example
 const prefixes = createPrefixModel({reuseMs: 10_000});
 prefixes.add({endpoint: 'i-7f', parts: ['5c1e'], tokens: 800});
 prefixes.countHeld('i-7f', [{id: '5c1e', tokens: 800}, {id: 'own', tokens: 20}]); // 800
 */
export function createPrefixModel({reuseMs}: {readonly reuseMs: number}): PrefixModel {
	const parts = new Map<string, Map<string, Held>>();
	const added = new Map<string, number>();
	const capacities = new Map<string, number>();

	function isHeld(endpoint: string, held: Held): boolean {
		return (added.get(endpoint) ?? 0) - held.added <= trustedShare * (capacities.get(endpoint) ?? Infinity);
	}

	function addPart(id: string, endpoint: string): void {
		const holders = parts.get(id) ?? new Map<string, Held>();
		holders.set(endpoint, {at: performance.now(), added: added.get(endpoint) ?? 0});
		parts.delete(id);
		parts.set(id, holders);
	}

	return {
		add(placement) {
			added.set(placement.endpoint, (added.get(placement.endpoint) ?? 0) + placement.tokens);
			for (const id of placement.parts) {
				addPart(id, placement.endpoint);
			}

			while (parts.size > mostParts) {
				const [oldest = ''] = parts.keys();
				parts.delete(oldest);
			}
		},
		countHeld(endpoint, prompt) {
			let tokens = 0;
			for (const part of listShared(prompt)) {
				const held = parts.get(part.id)?.get(endpoint);
				if (held === undefined || !isHeld(endpoint, held)) {
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
				const holders = parts.get(part.id);
				if (holders?.values().some(({at}) => at >= oldest)) {
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
			for (const holders of parts.values()) {
				holders.delete(endpoint);
			}
		},
	};
}

/**
The last part belongs to the request itself.
*/
function listShared(prompt: readonly PromptPart[]): readonly PromptPart[] {
	return prompt.slice(0, -1);
}
