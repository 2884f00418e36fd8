import type {EndpointLoad} from './endpoint-load.ts';

/**
 Counts the prompt tokens that an endpoint still has to prefill, for all ranks.

 @example
 countPendingPrefill({...noLoad, pendingPrefill: [100, 0, 2000]}); // 2100
 */
export function countPendingPrefill({pendingPrefill}: Pick<EndpointLoad, 'pendingPrefill'>): number {
	let sum = 0;
	for (const tokens of pendingPrefill) {
		sum += tokens;
	}

	return sum;
}
