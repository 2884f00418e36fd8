import {rankByHash} from '@valvesaddle/ranking';
import type {PreferredEndpoints} from './preferred-endpoints.ts';

/**
Prefixes whose order of endpoints is cached, which saves one hash per endpoint and request.
*/
const maximumKeptOrders = 2000;

/**
 Creates the table of preferred endpoints, which ranks them by rendezvous hashing.

 @example
 const preferences = createPreferredEndpoints();
 preferences.find('5c1e,91bd', ['i-1', 'i-2'], new Set(['i-2'])); // 'i-2'
 */
export function createPreferredEndpoints(): PreferredEndpoints {
	const orders = new Map<string, readonly string[]>();

	function getOrder(key: string, ready: readonly string[]): readonly string[] {
		const order = orders.get(key) ?? rankByHash(key, ready);
		orders.delete(key);
		orders.set(key, order);
		if (orders.size > maximumKeptOrders) {
			const [oldest = ''] = orders.keys();
			orders.delete(oldest);
		}

		return order;
	}

	return {
		find: (key, ready, candidates) => getOrder(key, ready).find(name => candidates.has(name)),
		clear() {
			orders.clear();
		},
	};
}
