import {setTimeout as delay} from 'node:timers/promises';
import type {AnswerEnd} from './answer-end.ts';
import type {AnswerLog} from './answer-log.ts';
import type {AnswerLogOptions} from './answer-log-options.ts';
import type {AnswerPage} from './answer-page.ts';

/**
 Creates the log of one answer. Nothing is appended after the end, so a late answer changes nothing.

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
	let wake = Promise.withResolvers<void>();
	let grace: NodeJS.Timeout | undefined;

	function settleReaders(): void {
		const {resolve} = wake;
		wake = Promise.withResolvers<void>();
		resolve();
	}

	function hasNews(offset: number): boolean {
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
			settleReaders();
		},
		finish(final) {
			if (end !== undefined) {
				return;
			}

			end = final;
			endedAt = Date.now();
			clearTimeout(grace);
			settleReaders();
		},
		async read(offset) {
			while (!hasNews(offset)) {
				// eslint-disable-next-line no-await-in-loop -- waits for the next part
				await wake.promise;
			}

			return getPage(offset);
		},
		async readWithin(offset, waitMs) {
			if (!hasNews(offset)) {
				await Promise.race([wake.promise, delay(waitMs, undefined, {ref: false})]);
			}

			return getPage(offset);
		},
		attach() {
			readers++;
			clearTimeout(grace);
		},
		detach() {
			readers--;
			if (!(readers === 0 && end === undefined)) {
				return;
			}

			grace = setTimeout(options.onAbandoned, options.graceMs);
			grace.unref();
		},
		end: () => end,
		endedAt: () => endedAt,
		size: () => size,
	};
}
