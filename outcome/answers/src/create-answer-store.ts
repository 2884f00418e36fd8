import type {AnswerLog} from './answer-log.ts';
import type {AnswerStore} from './answer-store.ts';
import type {AnswerStoreOptions} from './answer-store-options.ts';

const sweepIntervalMs = 1000;

/**
 Creates the answer store of a node.

 @example
 const store = createAnswerStore({retentionMs: 600_000, maximumCharacters: 16_000_000});
 */
export function createAnswerStore(options: AnswerStoreOptions): AnswerStore {
	const logs = new Map<string, AnswerLog>();

	function removeExpired(): void {
		const now = performance.now();
		const ended = logs.values().filter(log => log.endedAt() !== undefined).toArray().toSorted((a, b) => (b.endedAt() ?? 0) - (a.endedAt() ?? 0));
		let size = 0;
		for (const log of ended) {
			size += log.size();
			if (size > options.maximumCharacters || now - (log.endedAt() ?? now) >= options.retentionMs) {
				logs.delete(log.requestId);
			}
		}
	}

	const timer = setInterval(removeExpired, sweepIntervalMs);
	timer.unref();

	return {
		add(log) {
			logs.set(log.requestId, log);
		},
		find: requestId => logs.get(requestId),
		openIds: () => logs.values().filter(log => log.endedAt() === undefined).map(({requestId}) => requestId).toArray(),
		close() {
			clearInterval(timer);
		},
	};
}
