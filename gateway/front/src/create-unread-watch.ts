import {decideUnread, type ByteLedger} from '@valvesaddle/buffers';
import type {Logger} from '@valvesaddle/logger';
import type {Metrics} from '@valvesaddle/metrics';
import {measureUnsent} from './measure-unsent.ts';
import type {UnreadAnswer} from './unread-answer.ts';
import type {UnreadWatch} from './unread-watch.ts';

type UnreadWatchOptions = {
	readonly ledger: ByteLedger;
	readonly logger: Logger;
	readonly metrics: Metrics;
};

type Progress = {
	bytes: number;
	queuedBytes: number;
	stillMs: number;
};

/**
Interval at which answers are looked at, in milliseconds.
*/
const checkMs = 250;
/**
Most that counts between two looks, in milliseconds: while the process stands still no caller can be seen to read.
*/
const maximumStepMs = 2 * checkMs;

/**
 Creates the watch of answers that wait for their callers. It ends those whose callers have read nothing for too long.

 @example
 const watch = createUnreadWatch({ledger, logger, metrics});
 watch.update(answer);
 */
export function createUnreadWatch({ledger, logger, metrics}: UnreadWatchOptions): UnreadWatch {
	const open = new Map<UnreadAnswer, Progress>();
	const {stuckMs} = ledger.limits;
	let timer: NodeJS.Timeout | undefined;
	let lastCheckAt = 0;

	function startTimer(): void {
		if (timer !== undefined) {
			return;
		}

		lastCheckAt = performance.now();
		timer = setInterval(() => {
			// Timers may run before sockets that can be written are.
			setImmediate(check);
		}, checkMs);
		timer.unref();
	}

	function remove(answer: UnreadAnswer): void {
		open.delete(answer);
		if (open.size > 0) {
			return;
		}

		clearInterval(timer);
		timer = undefined;
	}

	function updateHold(answer: UnreadAnswer): number {
		const bytes = answer.countUnsent();
		answer.hold.set('unsent', bytes);
		return bytes;
	}

	/**
	Updates how long a caller has read nothing. An answer behind others on its connection does not wait for its caller.
	*/
	function updateProgress(answer: UnreadAnswer, progress: Progress, elapsedMs: number): void {
		const socket = answer.findSocket();
		const unsent = socket === undefined ? undefined : measureUnsent(socket);
		const isStill = unsent !== undefined && unsent.bytes >= progress.bytes && unsent.queuedBytes === progress.queuedBytes;
		progress.stillMs = isStill ? progress.stillMs + elapsedMs : 0;
		progress.bytes = unsent?.bytes ?? 0;
		progress.queuedBytes = unsent?.queuedBytes ?? 0;
	}

	function endAnswer(answer: UnreadAnswer, stillMs: number, bytes: number): void {
		const isOverdue = performance.now() > answer.deadlineAt;
		if (decideUnread({
			stuckMs, stillMs, isPressed: ledger.isPressed(), isOverdue,
		}) === 'keep') {
			return;
		}

		metrics.increment('gateway.stuck-answers', 1, {cause: isOverdue ? 'overdue' : 'memory'});
		logger.info({
			name: 'answer-unread', request: answer.requestId, account: answer.account, bytes, heldBytes: ledger.countBytes(), stillMs: Math.round(stillMs), isOverdue,
		});
		remove(answer);
		// The connection is closed a little later; until then no other answer is ended for the same memory.
		answer.hold.release();
		answer.end(`its caller has read nothing for ${Math.round(stillMs)} ms`);
	}

	/**
	Lists answers of the accounts that hold most first, since it is their memory that is needed.
	*/
	function listInOrder(): ReadonlyArray<readonly [UnreadAnswer, Progress]> {
		const answers = [...open];
		return ledger.isPressed() ? answers.toSorted(([a], [b]) => ledger.countAccountBytes(b.account) - ledger.countAccountBytes(a.account)) : answers;
	}

	function check(): void {
		const now = performance.now();
		const elapsedMs = Math.min(now - lastCheckAt, maximumStepMs);
		lastCheckAt = now;
		for (const [answer, progress] of listInOrder()) {
			const bytes = updateHold(answer);
			if (bytes === 0) {
				remove(answer);
				continue;
			}

			updateProgress(answer, progress, elapsedMs);
			endAnswer(answer, progress.stillMs, bytes);
		}
	}

	return {
		update(answer) {
			if (updateHold(answer) === 0 || open.has(answer)) {
				return;
			}

			open.set(answer, {bytes: 0, queuedBytes: 0, stillMs: 0});
			startTimer();
		},
		remove,
	};
}
