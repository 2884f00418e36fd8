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
	leftAt: number;
};

type Reason = {
	readonly cause: string;
	readonly isRetried: boolean;
};

type AttemptRecordOptions = {
	/**
	One-way latency between nodes and engines, in milliseconds.
	*/
	readonly linkMs: number;
};

/**
Difference by which sums of the same times may differ.
*/
const roundingMs = 0.001;

/**
 Creates the record of the attempts that nodes end on suspicion: those that they log as failed, and abort before or once another
 attempt has replaced them.

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
	Why requests were sent again, until the attempt that is replaced ends.
	*/
	const moves = new Map<string, string>();
	/**
	When requests were answered.
	*/
	const answeredAt = new Map<string, number>();

	function recordFailure(requestId: string, cause: string, isRetried: boolean): void {
		const attempt = aborted.get(requestId);
		aborted.delete(requestId);
		if (attempt !== undefined) {
			addLeft(requestId, attempt, {cause, isRetried});
		} else if (isRetried) {
			moves.set(requestId, cause);
		}
	}

	function addLeft(requestId: string, attempt: LeftAttempt, {cause, isRetried}: Reason): void {
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
		recordAbort(requestId, isNewest) {
			const attempt: LeftAttempt = {
				isStalled: false, isRepeated: false, lostPromptTokens: 0, lostOutputTokens: 0, endAt: Infinity, leftAt: performance.now(),
			};
			const cause = moves.get(requestId);
			moves.delete(requestId);
			if (cause === undefined) {
				aborted.set(requestId, attempt);
			} else if (!isNewest) {
				addLeft(requestId, attempt, {cause, isRetried: true});
			}

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
				endedAnswered: all.filter(({endAt, leftAt}) => endAt <= leftAt + (2 * linkMs) + roundingMs).length,
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
