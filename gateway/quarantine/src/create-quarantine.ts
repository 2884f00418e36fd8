import type {CrashRow} from './crash-row.ts';
import type {Quarantine} from './quarantine.ts';
import type {QuarantineOptions} from './quarantine-options.ts';

/**
Endpoints that may crash under one request.
*/
const allowedCrashes = 3;
/**
Two megabytes of rows; each crash adds as many requests as the endpoint ran.
*/
const defaultMaximumRequests = 4096;

/**
Incarnations that crashed under one request; `true` for those that were cleared.
*/
type Crashes = Map<string, boolean>;

/**
 Creates the quarantine of a node. A request is quarantined once three endpoints crashed while they ran it, and no caller got a
 whole answer to the same request in between. Rows do not expire, since a request that comes once an hour would crash three
 endpoints every three hours; the oldest are dropped when there are too many, those of quarantined requests last.

 @example
 const quarantine = createQuarantine({});
 quarantine.recordCrash('i-7f', [digest]);
 quarantine.isSuspect(digest); // true
 quarantine.isQuarantined(digest); // false: first of three crashes
 */
export function createQuarantine({onChanged, onQuarantined, maximumRequests = defaultMaximumRequests}: QuarantineOptions): Quarantine {
	const requests = new Map<string, Crashes>();

	function listOpen(digest: string): readonly string[] {
		return [...requests.get(digest) ?? []].filter(([, isCleared]) => !isCleared).map(([endpoint]) => endpoint);
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
	Applies a row; `false` if it was known.
	*/
	function didChange([digest, endpoint, isCleared]: CrashRow): boolean {
		const crashes = requests.get(digest);
		const known = crashes?.get(endpoint);
		if (known === true || known === isCleared) {
			return false;
		}

		const wasQuarantined = isQuarantined(digest);
		// The newest are last.
		requests.delete(digest);
		requests.set(digest, new Map([...crashes ?? [], [endpoint, isCleared]]));
		if (!wasQuarantined && isQuarantined(digest)) {
			onQuarantined?.(digest, listOpen(digest));
		}

		return true;
	}

	function merge(rows: readonly CrashRow[]): void {
		const changed = rows.filter(row => didChange(row));
		removeOldest();
		if (changed.length > 0) {
			onChanged?.(changed);
		}
	}

	return {
		isEmpty: () => requests.size === 0,
		countRequests: () => requests.size,
		isQuarantined,
		isSuspect: digest => listOpen(digest).length > 0,
		recordCrash(endpoint, digests) {
			merge([...digests].map(digest => [digest, endpoint, false]));
		},
		recordAnswered(digest) {
			merge(listOpen(digest).map(endpoint => [digest, endpoint, true]));
		},
		merge,
		list: () => requests.entries().flatMap(([digest, crashes]) => [...crashes].map(([endpoint, isCleared]): CrashRow => [digest, endpoint, isCleared])).toArray(),
	};
}
