import type {EndpointLoad} from './endpoint-load.ts';

/**
 Sums two loads; no part falls below 0.

 @example
 addLoads({...noLoad, open: 1}, {...noLoad, open: 2}).open; // 3
 */
export function addLoads(a: EndpointLoad, b: EndpointLoad): EndpointLoad {
	return {
		open: Math.max(0, a.open + b.open),
		prefillTokens: Math.max(0, a.prefillTokens + b.prefillTokens),
		longTokens: Math.max(0, a.longTokens + b.longTokens),
		shortOpen: Math.max(0, a.shortOpen + b.shortOpen),
		readTokens: a.readTokens + b.readTokens,
		readMs: a.readMs + b.readMs,
	};
}
