import type {Attempt} from './attempt.ts';
import type {Crash} from './crash.ts';
import type {Run} from './run.ts';

/**
 Marks the runs as spoiled that were open when their endpoint's process ended.

 @example
 markCrashedRuns(runs, crashes, attempts).filter(run => run.isSpoiled);
 */
export function markCrashedRuns(runs: readonly Run[], crashes: readonly Crash[], attempts: readonly Attempt[]): readonly Run[] {
	const crashedAt = new Map(crashes.map(({endpoint, at}) => [endpoint, at]));
	const endedAt = new Map(attempts.map(attempt => [attempt.id, attempt.endedAt]));
	return runs.map(run => {
		const at = crashedAt.get(run.endpoint);
		return at !== undefined && (endedAt.get(run.id) ?? Infinity) >= at ? {...run, isSpoiled: true} : run;
	});
}
