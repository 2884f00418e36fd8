import type {EndpointLoad} from './endpoint-load.ts';

/**
 Counts the prompt tokens that an endpoint still has to read, of all ranks.

 @example
 countUnread({...noLoad, unread: [100, 0, 2000]}); // 2100
 */
export function countUnread({pendingPrefill: unread}: Pick<EndpointLoad, 'pendingPrefill'>): number {
	let sum = 0;
	for (const tokens of unread) {
		sum += tokens;
	}

	return sum;
}
