import {setTimeout as delay} from 'node:timers/promises';
import type {AnswerEnd} from './answer-end.ts';
import type {AnswerLog} from './answer-log.ts';
import type {AnswerLogOptions} from './answer-log-options.ts';
import type {AnswerPage} from './answer-page.ts';

/**
 Creates the log of one answer. Parts and ends that arrive after the first end are ignored.

 @example
 const log = createAnswerLog({requestId, account: 'sawmill', onAbandoned() {}, graceMs: 5000});
 log.append('{"content":"Yes"}');
 */
export function createAnswerLog(options: AnswerLogOptions): AnswerLog {
	const parts: string[] = [];
	let end: AnswerEnd | undefined;
	let endedAt: number | undefined;
	let size = 0;
	let readers = 0;
	let updated = Promise.withResolvers<void>();
	let graceTimer: NodeJS.Timeout | undefined;

	function settleReads(): void {
		const {resolve} = updated;
		updated = Promise.withResolvers<void>();
		resolve();
	}

	function hasUpdate(offset: number): boolean {
		return parts.length > offset || end !== undefined;
	}

	function getPage(offset: number): AnswerPage {
		return {parts: parts.slice(offset), end};
	}

	return {
		requestId: options.requestId,
		account: options.account,
		append(part) {
			if (end !== undefined) {
				return;
			}

			parts.push(part);
			size += part.length;
			settleReads();
		},
		finish(finalEnd) {
			if (end !== undefined) {
				return;
			}

			end = finalEnd;
			endedAt = performance.now();
			clearTimeout(graceTimer);
			settleReads();
		},
		async read(offset) {
			while (!hasUpdate(offset)) {
				// eslint-disable-next-line no-await-in-loop -- waits for the next part
				await updated.promise;
			}

			return getPage(offset);
		},
		async readWithin(offset, waitMs) {
			if (!hasUpdate(offset)) {
				await Promise.race([updated.promise, delay(waitMs, undefined, {ref: false})]);
			}

			return getPage(offset);
		},
		attach() {
			readers++;
			clearTimeout(graceTimer);
		},
		detach() {
			readers--;
			if (!(readers === 0 && end === undefined)) {
				return;
			}

			graceTimer = setTimeout(options.onAbandoned, options.graceMs);
			graceTimer.unref();
		},
		end: () => end,
		endedAt: () => endedAt,
		size: () => size,
	};
}
