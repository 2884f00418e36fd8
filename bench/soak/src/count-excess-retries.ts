import type {Arrival} from './arrival.ts';
import type {Attempt} from './attempt.ts';
import type {RetrySettings} from './retry-settings.ts';

const msPerSecond = 1000;

function countFrom(times: readonly number[], from: number, windowMs: number): number {
	return times.filter(at => at >= from && at < from + windowMs).length;
}

/**
 Counts the arrivals beyond the first of their request that exceed the fleet's budget in its worst window. As on the platform, a window
 may spend what was earned in it, in the one before it, or in the one half a window before it.

 @example
 countExcessRetries(attempts, arrivals, {ratio: 0.2, slack: 58, assumedNodes: 9, windowS: 10}); // 0
 */
export function countExcessRetries(attempts: ReadonlyArray<Pick<Attempt, 'sentAt'>>, arrivals: readonly Arrival[], {ratio, slack, windowS}: RetrySettings): number {
	const windowMs = windowS * msPerSecond;
	const requests = attempts.map(({sentAt}) => sentAt);
	const seen = new Set<string>();
	const retries = arrivals.toSorted((a, b) => a.at - b.at).filter(({id}) => {
		const isRetry = seen.has(id);
		seen.add(id);
		return isRetry;
	}).map(({at}) => at);
	const excesses = retries.map(from => {
		const earned = Math.max(...[0, windowMs / 2, windowMs].map(before => countFrom(requests, from - before, windowMs)));
		return countFrom(retries, from, windowMs) - (ratio * earned) - slack;
	});
	return Math.max(0, ...excesses);
}
