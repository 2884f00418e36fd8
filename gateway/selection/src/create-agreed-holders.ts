import {rankByHash} from '@valvesaddle/ranking';
import type {AgreedHolders} from './agreed-holders.ts';

/**
Prompts whose order of endpoints is kept; a hash for each endpoint would be worked out anew for each request otherwise.
*/
const mostKept = 2000;

/**
 Creates the table of agreed holders.

 @example
 const holders = createAgreedHolders();
 holders.find('5c1e,91bd', ['i-1', 'i-2'], new Set(['i-2'])); // 'i-2'
 */
export function createAgreedHolders(): AgreedHolders {
	const orders = new Map<string, readonly string[]>();

	function getOrder(key: string, ready: readonly string[]): readonly string[] {
		const order = orders.get(key) ?? rankByHash(key, ready);
		orders.delete(key);
		orders.set(key, order);
		if (orders.size > mostKept) {
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
