import type {DemandRow} from './demand-row.ts';
import type {DemandWindow} from './demand-window.ts';
import {formatDemandKey} from './format-demand-key.ts';
import {mergeDemandRows} from './merge-demand-rows.ts';
import {restAccount} from './rest-account.ts';

/**
Parts of the window that are forgotten one by one. More would cost more to sum up; with these the window is exact to an eighth.
*/
const bucketsPerWindow = 8;
/**
Rows of a part, beyond which further accounts are summed up. A node sees a few requests a second, so a part holds a few accounts.
*/
const maximumRowsPerBucket = 512;

type Bucket = {
	readonly index: number;
	/**
	Rows by key, by pool.
	*/
	readonly pools: Map<string, Map<string, DemandRow>>;
	rows: number;
};

/**
 Creates the window of the demand that a node sees itself. Its size is bounded, however many accounts ask.

 @param windowMs - Length of the window, in milliseconds.
 @example
 const window = createDemandWindow(4000);
 window.record('p', {priority: 1, account: 'sawmill', accounts: 1, askedTokens: 900, returnedTokens: 0, servedTokens: 0});
 window.read('p')[0]?.askedTokens; // 900
 */
export function createDemandWindow(windowMs: number): DemandWindow {
	const bucketMs = windowMs / bucketsPerWindow;
	let buckets: readonly Bucket[] = [];

	function getBucket(): Bucket {
		const index = Math.floor(performance.now() / bucketMs);
		const last = buckets.at(-1);
		if (last?.index === index) {
			return last;
		}

		const created: Bucket = {index, pools: new Map(), rows: 0};
		buckets = [...listCurrent(index), created];
		return created;
	}

	function listCurrent(index: number): readonly Bucket[] {
		return buckets.filter(bucket => bucket.index > index - bucketsPerWindow);
	}

	return {
		record(pool, row) {
			const bucket = getBucket();
			const rows = bucket.pools.get(pool) ?? new Map<string, DemandRow>();
			bucket.pools.set(pool, rows);
			const isNew = !rows.has(formatDemandKey(row));
			const kept = isNew && bucket.rows >= maximumRowsPerBucket ? {...row, account: restAccount} : row;
			const key = formatDemandKey(kept);
			const before = rows.get(key);
			bucket.rows += before === undefined ? 1 : 0;
			const [sum = kept] = mergeDemandRows(before === undefined ? [kept] : [before, kept]);
			rows.set(key, sum);
		},
		read(pool) {
			const current = listCurrent(Math.floor(performance.now() / bucketMs));
			return mergeDemandRows(current.flatMap(({pools}) => pools.get(pool)?.values().toArray() ?? []));
		},
	};
}
