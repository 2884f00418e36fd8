import {setTimeout as delay} from 'node:timers/promises';
import type {AnswerReaders} from './answer-readers.ts';

const checkIntervalMs = 50;

type AnswerReadersOptions = {
	/**
	Time after which a reader that asks for no page has left, in milliseconds. A reader whose caller is slow asks rarely.
	*/
	readonly silenceMs: number;
};

/**
 Creates the record of the readers on other nodes.

 @example
 const readers = createAnswerReaders({silenceMs: 10_000});
 readers.start('b1', requestId);
 */
export function createAnswerReaders({silenceMs}: AnswerReadersOptions): AnswerReaders {
	/**
	Time of the last page by reader, on the monotonic clock; `Infinity` while one is awaited.
	*/
	const lastPages = new Map<string, number>();
	const toKey = (peer: string, requestId: string): string => `${peer}/${requestId}`;

	function removeSilent(): void {
		const now = performance.now();
		for (const [key, at] of lastPages) {
			if (now - at >= silenceMs) {
				lastPages.delete(key);
			}
		}
	}

	return {
		start(peer, requestId) {
			lastPages.set(toKey(peer, requestId), Infinity);
		},
		finish(peer, requestId, isLast) {
			removeSilent();
			if (isLast) {
				lastPages.delete(toKey(peer, requestId));
			} else {
				lastPages.set(toKey(peer, requestId), performance.now());
			}
		},
		async wait() {
			removeSilent();
			while (lastPages.size > 0) {
				// eslint-disable-next-line no-await-in-loop -- readers on other nodes are only heard when they ask
				await delay(checkIntervalMs);
				removeSilent();
			}
		},
	};
}
