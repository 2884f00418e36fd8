/**
Prompt tokens that an output token counts as. Sheng et al. charge two; reading and writing are told apart no further.
*/
const promptTokensPerOutputToken = 2;

/**
 Measures the work of a request in prompt tokens; at least 1, so that requests without tokens count by number.

 @example
 measureWorkTokens({promptTokens: 900, outputTokens: 50}); // 1000
 */
export function measureWorkTokens({promptTokens, outputTokens}: {readonly promptTokens: number; readonly outputTokens: number}): number {
	return Math.max(1, promptTokens + (promptTokensPerOutputToken * outputTokens));
}
