import type {FailureTable} from './failure-table.ts';

type Failures = {
	/**
	Failures in a row.
	*/
	readonly count: number;
	readonly until: number;
};

/**
Failures in a row that eject an endpoint.
*/
const failuresToEject = 2;
const firstEjectionMs = 1000;
const longestEjectionMs = 4000;
/**
Time for which an endpoint that refused is passed over while there is another, so that its queue can shorten, in milliseconds.
*/
const refusedMs = 400;

/**
 Creates the table of failing endpoints. After an ejection one failure is enough for the next, which is twice as long.

 @example
 const failures = createFailureTable();
 failures.record('i-7f', true);
 failures.isEjected('i-7f'); // false: the first of two
 */
export function createFailureTable(): FailureTable {
	const table = new Map<string, Failures>();

	function addFailures(endpoint: string, least: number): void {
		const count = Math.max(least, (table.get(endpoint)?.count ?? 0) + 1);
		const ejections = count - failuresToEject;
		const pause = ejections < 0 ? 0 : Math.min(longestEjectionMs, firstEjectionMs * (2 ** ejections));
		table.set(endpoint, {count, until: performance.now() + pause});
	}

	return {
		record(endpoint, isFailed) {
			if (isFailed) {
				addFailures(endpoint, 1);
			} else {
				table.delete(endpoint);
			}
		},
		recordRefusal(endpoint) {
			table.set(endpoint, {count: 0, until: performance.now() + refusedMs});
		},
		eject(endpoint) {
			addFailures(endpoint, failuresToEject);
		},
		isEjected(endpoint) {
			const failures = table.get(endpoint);
			return failures !== undefined && performance.now() < failures.until;
		},
		removeEndpoint(endpoint) {
			table.delete(endpoint);
		},
	};
}
