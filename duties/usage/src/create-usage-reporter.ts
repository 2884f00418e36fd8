import * as z from 'zod';
import type {DutyAnswer, UsageReport} from '@valvesaddle/duty-types';
import type {UsageReporter} from './usage-reporter.ts';
import type {UsageReporterOptions} from './usage-reporter-options.ts';

/**
Windows before the present one that a new holder sends again: those that may still be due, and one more.
*/
const windowsBefore = 4;
/**
Windows after which the fixed counts of one are removed: far longer than a call may be carried out late.
*/
const windowsKept = 24;
const countsSchema = z.record(z.string(), z.number());

/**
 Creates the reporter of usage. What is reported of a window is written to the store once, before it is sent, and only what
 stands there is ever sent: whoever holds the duty next sends the same counts.

 @example
 const reporter = createUsageReporter(options);
 await reporter.update(Date.now());
 */
export function createUsageReporter(options: UsageReporterOptions): UsageReporter {
	const {counters: book, store, platform, windowMs, logger, metrics} = options;
	let next: number | undefined;

	/**
	The last window that has ended and settled.
	*/
	function findLast(now: number): number {
		return Math.floor((now - options.settleMs) / windowMs) - 1;
	}

	async function writeCounts(window: number): Promise<UsageReport['counts'] | 'unknown' | 'unreadable'> {
		const key = toKey(window);
		const counts = book.sum(window);
		const written = await store.write({
			key, text: JSON.stringify(counts), expected: 0, removed: [toKey(window - windowsKept)],
		});
		if (written.isOk() && written.value !== undefined) {
			return counts;
		}

		// It stands there already, or nobody can say: only what is read counts.
		const found = await store.read(key);
		return found.match(entry => entry === undefined ? 'unknown' : parseCounts(entry.text), () => 'unknown');
	}

	async function wasSent(window: number): Promise<boolean> {
		const counts = await writeCounts(window);
		const proof = options.getProof();
		if (counts === 'unknown' || proof === undefined) {
			return false;
		}

		if (counts === 'unreadable') {
			// What another writer left there is not sent, and does not keep back what comes after it.
			logger.warn({
				name: 'store-entry-unreadable', key: toKey(window), revision: 0, reason: 'no counts of usage',
			});
			return true;
		}

		const answer = await platform.reportUsage({window, counts}, proof);
		metrics.increment('duties.usage-reports', 1, {answer});
		logger.info({
			name: 'usage-reported', window, accounts: Object.keys(counts).length, requests: Object.values(counts).reduce((sum, count) => sum + count, 0), token: proof.token, answer,
		});
		return settlers[answer]();
	}

	const settlers: Readonly<Record<DutyAnswer, () => boolean | Promise<boolean>>> = {
		accepted: () => true,
		// The same call would be rejected again.
		rejected: () => true,
		busy: () => false,
		unknown: () => false,
		async refused() {
			await options.confirm();
			return false;
		},
	};

	return {
		async update(now) {
			const last = findLast(now);
			next ??= last - windowsBefore;
			while (next <= last && options.getProof() !== undefined) {
				// eslint-disable-next-line no-await-in-loop -- the oldest first
				if (!await wasSent(next)) {
					return;
				}

				next++;
			}
		},
		start(now) {
			next = findLast(now) - windowsBefore;
		},
	};
}

function toKey(window: number): string {
	return `usage/${window}`;
}

function parseCounts(text: string): UsageReport['counts'] | 'unreadable' {
	try {
		return countsSchema.parse(JSON.parse(text));
	} catch {
		return 'unreadable';
	}
}
