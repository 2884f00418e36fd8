import {predictEjectionMs} from '@valvesaddle/evidence';
import type {FailureTable} from './failure-table.ts';

type Failures = {
	/**
	Consecutive failures.
	*/
	readonly count: number;
	/**
	In milliseconds on the monotonic clock.
	*/
	readonly skippedUntil: number;
	/**
	What the last one was.
	*/
	readonly cause: 'failed' | 'gone' | 'stalled' | 'refused';
};

/**
Consecutive failures that eject an endpoint.
*/
const failuresToEject = 2;
const firstEjectionMs = 1000;
const maximumEjectionMs = 4000;
/**
Time for which an endpoint that refused a request is skipped if there is another, so that its queue can shorten.
*/
const refusalSkipMs = 400;
/**
Time for which it counts as full: about the time until the next request ends there.
*/
const fullMs = 50;

/**
 Creates the table of failing endpoints. After an ejection a single failure starts the next one, which is twice as long.

 @example
 const failures = createFailureTable();
 failures.record('i-7f', true);
 failures.isEjected('i-7f'); // false: first of two failures
 */
export function createFailureTable(): FailureTable {
	const table = new Map<string, Failures>();

	function isEjected(endpoint: string, isPoolFailing = false): boolean {
		const failures = table.get(endpoint);
		return failures !== undefined && performance.now() < failures.skippedUntil && !(isPoolFailing && failures.cause === 'failed');
	}

	function addFailures(endpoint: string, minimumCount: number, cause: Failures['cause']): void {
		const count = Math.max(minimumCount, (table.get(endpoint)?.count ?? 0) + 1);
		const ejections = count - failuresToEject;
		const ejectionMs = ejections < 0 ? 0 : predictEjectionMs({ejections, firstMs: firstEjectionMs, maximumMs: maximumEjectionMs});
		table.set(endpoint, {count, skippedUntil: performance.now() + ejectionMs, cause});
	}

	return {
		record(endpoint, isFailed) {
			if (isFailed) {
				addFailures(endpoint, 1, 'failed');
			} else {
				table.delete(endpoint);
			}
		},
		recordRefusal(endpoint) {
			table.set(endpoint, {count: 0, skippedUntil: performance.now() + refusalSkipMs, cause: 'refused'});
		},
		eject(endpoint) {
			addFailures(endpoint, failuresToEject, 'gone');
		},
		ejectStalled(endpoint) {
			if (!isEjected(endpoint)) {
				addFailures(endpoint, failuresToEject, 'stalled');
			}
		},
		recordChunk(endpoint) {
			if (table.get(endpoint)?.cause === 'stalled') {
				table.delete(endpoint);
			}
		},
		isEjected,
		getFullMs(endpoint) {
			const failures = table.get(endpoint);
			return failures?.count === 0 ? Math.max(0, failures.skippedUntil - refusalSkipMs + fullMs - performance.now()) : 0;
		},
		removeEndpoint(endpoint) {
			table.delete(endpoint);
		},
	};
}
