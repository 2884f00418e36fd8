import * as z from 'zod';
import type {DutyAnswer, UsageReport} from '@valvesaddle/duty-types';
import type {UsageReporter} from './usage-reporter.ts';
import type {UsageReporterOptions} from './usage-reporter-options.ts';

/**
Number of earlier windows that a new holder sends again, since their reports may not have been accepted.
*/
const resentWindows = 4;
/**
Number of windows for which written counts stay in the store: much longer than a delayed call can take.
*/
const keptWindows = 24;
const countsSchema = z.record(z.string(), z.number());

/**
 Creates the usage reporter. The counts of a window are written to the store once, and only stored counts are sent, so that every
 holder of the duty sends the same counts.

 @example
 const reporter = createUsageReporter(options);
 await reporter.update(Date.now());
 */
export function createUsageReporter(options: UsageReporterOptions): UsageReporter {
	const {counters, store, platform, windowMs, logger, metrics} = options;
	let nextWindow: number | undefined;

	/**
	Returns the last window that has ended and whose counts have settled.
	*/
	function findLastSettled(now: number): number {
		return Math.floor((now - options.settleMs) / windowMs) - 1;
	}

	async function writeCounts(window: number): Promise<UsageReport['counts'] | 'unknown' | 'unreadable'> {
		const key = toKey(window);
		const counts = counters.sum(window);
		const written = await store.write({
			key, text: JSON.stringify(counts), expected: 0, removed: [toKey(window - keptWindows)],
		});
		if (written.isOk() && written.value !== undefined) {
			return counts;
		}

		// The entry exists already, or the write had no answer: the stored counts apply.
		const found = await store.read(key);
		return found.match(entry => entry === undefined ? 'unknown' : parseCounts(entry.text), () => 'unknown');
	}

	/**
	Sends the report of a window; resolves to whether it was accepted, rejected or skipped, so that the next one can be sent.
	*/
	async function didReportWindow(window: number): Promise<boolean> {
		const counts = await writeCounts(window);
		const proof = options.getProof();
		if (counts === 'unknown' || proof === undefined) {
			return false;
		}

		if (counts === 'unreadable') {
			// Skips an entry that this code did not write, so that later windows are sent.
			logger.warn({
				name: 'store-entry-unreadable', key: toKey(window), revision: 0, reason: 'entry is not a map of request counts by account',
			});
			return true;
		}

		const answer = await platform.reportUsage({window, counts}, proof);
		metrics.increment('duties.usage-reports', 1, {answer});
		logger.info({
			name: 'usage-reported', window, accounts: Object.keys(counts).length, requests: Object.values(counts).reduce((sum, count) => sum + count, 0), token: proof.token, answer,
		});
		return answerHandlers[answer]();
	}

	const answerHandlers: Readonly<Record<DutyAnswer, () => boolean | Promise<boolean>>> = {
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
			const last = findLastSettled(now);
			nextWindow ??= last - resentWindows;
			while (nextWindow <= last && options.getProof() !== undefined) {
				// eslint-disable-next-line no-await-in-loop -- windows are sent in order, the oldest first
				if (!await didReportWindow(nextWindow)) {
					return;
				}

				nextWindow++;
			}
		},
		start(now) {
			nextWindow = findLastSettled(now) - resentWindows;
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
