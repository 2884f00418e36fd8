import type {CrashRow} from './crash-row.ts';
import type {Quarantine} from './quarantine.ts';
import type {QuarantineOptions} from './quarantine-options.ts';

/**
Endpoints that may crash under one request.
*/
const allowedCrashes = 3;
/**
Crashes after which a request is tried no more, and the time without a crash or a trial before each trial, in milliseconds.
*/
const finalCrashes = 5;
const trialIntervalMs = 30_000;
/**
Time for which an answer shows that a request does not crash endpoints, in milliseconds. Many copies of a popular request may run on
endpoints that crash together.
*/
const answeredMs = 30_000;
/**
Two megabytes of rows; each crash adds as many requests as the endpoint ran.
*/
const defaultMaximumRequests = 4096;

/**
Incarnations that crashed under one request; `true` for those that were cleared.
*/
type Crashes = ReadonlyMap<string, boolean>;

type SuspectRequest = {
	readonly crashes: Crashes;
	/**
	Time of the last change or trial, in milliseconds on the monotonic clock.
	*/
	triedAt: number;
};

/**
 Creates the quarantine of a node. A request is quarantined once three endpoints crashed while they ran it, and no caller got a
 whole answer to the same request around that time. Rows do not expire, since a request that comes once an hour would crash three
 endpoints every three hours; the oldest are dropped when there are too many, those of quarantined requests last. When endpoints
 crash for another reason, requests without a fault are quarantined too: each is tried again, twice at most.

 @example
 const quarantine = createQuarantine({});
 quarantine.recordCrash('i-7f', [digest]);
 quarantine.isSuspect(digest); // true
 quarantine.isQuarantined(digest); // false: first of three crashes
 */
export function createQuarantine({onChanged, onQuarantined, isTrialNode, maximumRequests = defaultMaximumRequests}: QuarantineOptions): Quarantine {
	const requests = new Map<string, SuspectRequest>();
	/**
	Time of the last whole answer, the oldest first.
	*/
	const answeredAt = new Map<string, number>();

	function listOpen(digest: string): readonly string[] {
		return [...requests.get(digest)?.crashes ?? []].filter(([, isCleared]) => !isCleared).map(([endpoint]) => endpoint);
	}

	function wasAnswered(digest: string): boolean {
		return performance.now() - (answeredAt.get(digest) ?? -Infinity) < answeredMs;
	}

	function addAnswer(digest: string): void {
		answeredAt.delete(digest);
		answeredAt.set(digest, performance.now());
		if (answeredAt.size > maximumRequests) {
			answeredAt.delete(answeredAt.keys().next().value ?? '');
		}
	}

	function isQuarantined(digest: string, broken: ReadonlySet<string> = new Set()): boolean {
		const crashed = listOpen(digest);
		const unconfirmed = broken.values().filter(endpoint => !crashed.includes(endpoint)).toArray();
		return crashed.length + unconfirmed.length >= allowedCrashes;
	}

	function removeOldest(): void {
		while (requests.size > maximumRequests) {
			const oldest = requests.keys().find(digest => !isQuarantined(digest)) ?? requests.keys().next().value;
			requests.delete(oldest ?? '');
		}
	}

	/**
	Applies a row; `undefined` if it was known.
	*/
	function applyRow([digest, endpoint, wasCleared]: CrashRow): CrashRow | undefined {
		const isCleared = wasCleared || wasAnswered(digest);
		const crashes = requests.get(digest)?.crashes;
		const known = crashes?.get(endpoint);
		if (known === true || known === isCleared) {
			return undefined;
		}

		const wasQuarantined = isQuarantined(digest);
		// The newest are last.
		requests.delete(digest);
		requests.set(digest, {crashes: new Map([...crashes ?? [], [endpoint, isCleared]]), triedAt: performance.now()});
		if (!wasQuarantined && isQuarantined(digest)) {
			onQuarantined?.(digest, listOpen(digest));
		}

		return [digest, endpoint, isCleared];
	}

	function merge(rows: readonly CrashRow[]): void {
		const changed = rows.map(row => applyRow(row)).filter(row => row !== undefined);
		removeOldest();
		if (changed.length > 0) {
			onChanged?.(changed);
		}
	}

	return {
		isEmpty: () => requests.size === 0,
		countRequests: () => requests.size,
		isQuarantined,
		takeTrial(digest) {
			const request = requests.get(digest);
			const now = performance.now();
			if (request === undefined || listOpen(digest).length >= finalCrashes || now - request.triedAt < trialIntervalMs || isTrialNode?.(digest) !== true) {
				return false;
			}

			request.triedAt = now;
			return true;
		},
		isSuspect: digest => listOpen(digest).length > 0,
		recordCrash(endpoint, digests) {
			merge([...digests].map(digest => [digest, endpoint, false]));
		},
		recordAnswered(digest) {
			addAnswer(digest);
			merge(listOpen(digest).map(endpoint => [digest, endpoint, true]));
		},
		merge,
		list: () => requests.entries().flatMap(([digest, {crashes}]) => [...crashes].map(([endpoint, isCleared]): CrashRow => [digest, endpoint, isCleared])).toArray(),
	};
}
