import type {EndpointLoad} from './endpoint-load.ts';

/**
 Sums two loads; no part falls below 0.

 @example
 addLoads({...noLoad, open: 1}, {...noLoad, open: 2}).open; // 3
 */
export function addLoads(a: EndpointLoad, b: EndpointLoad): EndpointLoad {
	return {
		open: Math.max(0, a.open + b.open),
		unread: addRanks(a.unread, b.unread),
		sensitivity: Math.max(0, a.sensitivity + b.sensitivity),
		witnesses: a.witnesses + b.witnesses,
		silent: a.silent + b.silent,
		readTokens: a.readTokens + b.readTokens,
		readMs: a.readMs + b.readMs,
	};
}

function addRanks(a: readonly number[], b: readonly number[]): readonly number[] {
	const [longer, shorter] = a.length >= b.length ? [a, b] : [b, a];
	return shorter.length === 0 ? longer : longer.map((tokens, rank) => Math.max(0, tokens + (shorter[rank] ?? 0)));
}
