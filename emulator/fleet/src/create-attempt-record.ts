import type {Logger} from '@valvesaddle/logger';
import type {AttemptRecord} from './attempt-record.ts';

type LeftAttempt = {
	isStalled: boolean;
	isRepeated: boolean;
	lostPromptTokens: number;
	lostOutputTokens: number;
	/**
	When it would have ended; `Infinity` if never.
	*/
	endAt: number;
};

type AttemptRecordOptions = {
	/**
	One-way latency between nodes and engines, in milliseconds.
	*/
	readonly linkMs: number;
};

/**
 Creates the record of the attempts that nodes end on suspicion: those that they abort and then log as failed.

 @example
 const record = createAttemptRecord({linkMs: 3});
 record.count().ended; // 0
 */
export function createAttemptRecord({linkMs}: AttemptRecordOptions): AttemptRecord {
	/**
	Attempts aborted by the node, until it logs the reason; and those that had failed.
	*/
	const aborted = new Map<string, LeftAttempt>();
	const left = new Map<string, LeftAttempt[]>();
	/**
	When requests were answered.
	*/
	const answeredAt = new Map<string, number>();

	function recordFailure(requestId: string, cause: string, isRetried: boolean): void {
		const attempt = aborted.get(requestId);
		aborted.delete(requestId);
		if (attempt === undefined) {
			return;
		}

		attempt.isStalled = cause === 'stalled';
		attempt.isRepeated = isRetried;
		left.set(requestId, [...(left.get(requestId) ?? []), attempt]);
	}

	const logger: Logger = {
		info(event) {
			if (event.name === 'attempt-failed') {
				recordFailure(event.request, event.cause, event.isRetried);
			} else if (event.name === 'request-ended') {
				aborted.delete(event.request);
				if (event.outcome === 'answered') {
					answeredAt.set(event.request, performance.now());
				}
			}
		},
		warn() {
			// Not recorded.
		},
		error() {
			// Not recorded.
		},
		async flush() {
			// Nothing is buffered.
		},
	};

	function classifyRepeat(requestId: string, {endAt}: LeftAttempt): 'ofUse' | 'later' | 'inVain' {
		const repeatAt = answeredAt.get(requestId) ?? Infinity;
		if (repeatAt === Infinity && endAt === Infinity) {
			return 'inVain';
		}

		return repeatAt < endAt ? 'ofUse' : 'later';
	}

	return {
		logger,
		recordAbort(requestId) {
			const attempt: LeftAttempt = {
				isStalled: false, isRepeated: false, lostPromptTokens: 0, lostOutputTokens: 0, endAt: Infinity,
			};
			aborted.set(requestId, attempt);
			return {
				onRemoved({prefilledTokens, generatedTokens}) {
					attempt.lostPromptTokens = prefilledTokens;
					attempt.lostOutputTokens = generatedTokens;
				},
				onEnd(delayMs) {
					attempt.endAt = performance.now() + delayMs + linkMs;
				},
			};
		},
		count() {
			const all = left.entries().flatMap(([requestId, attempts]) => attempts.map(attempt => ({requestId, ...attempt}))).toArray();
			const repeats = all.filter(({isRepeated}) => isRepeated);
			const classes = repeats.map(attempt => classifyRepeat(attempt.requestId, attempt));
			return {
				ended: all.length,
				endedAsStalled: all.filter(({isStalled}) => isStalled).length,
				repeats: repeats.length,
				repeatsOfUse: classes.filter(name => name === 'ofUse').length,
				repeatsLater: classes.filter(name => name === 'later').length,
				repeatsInVain: classes.filter(name => name === 'inVain').length,
				endedForNothing: all.filter(({isRepeated, endAt}) => !isRepeated && endAt < Infinity).length,
				lostPromptTokens: all.reduce((sum, {lostPromptTokens}) => sum + lostPromptTokens, 0),
				lostOutputTokens: all.reduce((sum, {lostOutputTokens}) => sum + lostOutputTokens, 0),
			};
		},
	};
}
