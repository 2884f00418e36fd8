import type {GrantEntry} from './grant-entry.ts';

/**
 Measures the average time between tokens of a grant since its last report, in milliseconds; `undefined` before the
 second report with tokens. Without new tokens, it is the time since the last report.

 @example
 measureInterToken({...entry, tokens: 10, renewedAt: 0}, 60, 1000); // 20
 */
export function measureInterToken(entry: GrantEntry, tokens: number, now: number): number | undefined {
	return entry.tokens === 0 ? undefined : (now - entry.renewedAt) / Math.max(1, tokens - entry.tokens);
}
