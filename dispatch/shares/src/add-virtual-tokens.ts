/**
 Adds served tokens to a virtual token counter, in proportion to the weight; negative tokens are refunded.

 @example
 addVirtualTokens(10, 8, 2); // 14
 */
export function addVirtualTokens(virtualTokens: number, tokens: number, weight: number): number {
	return virtualTokens + (tokens / weight);
}
