import type {EndpointLoad} from './endpoint-load.ts';

/**
 Sums two loads; no part falls below 0.

 @example
 addLoads({open: 1, prefillTokens: 0, longTokens: 0, shortOpen: 1}, {open: 2, prefillTokens: 0, longTokens: 0, shortOpen: 0}).open; // 3
 */
export function addLoads(a: EndpointLoad, b: EndpointLoad): EndpointLoad {
	return {
		open: Math.max(0, a.open + b.open),
		prefillTokens: Math.max(0, a.prefillTokens + b.prefillTokens),
		longTokens: Math.max(0, a.longTokens + b.longTokens),
		shortOpen: Math.max(0, a.shortOpen + b.shortOpen),
	};
}
