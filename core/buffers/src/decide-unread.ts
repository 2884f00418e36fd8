import type {BufferLimits} from './buffer-limits.ts';

type UnreadQuestion = Pick<BufferLimits, 'stuckMs'> & {
	/**
	How long the caller has not read any of its answer, in milliseconds.
	*/
	readonly stillMs: number;
	/**
	Whether the node needs the memory.
	*/
	readonly isPressed: boolean;
	/**
	Whether the time in which the request was to be answered is over.
	*/
	readonly isOverdue: boolean;
};

/**
 Decides whether an answer that waits for its caller is ended incomplete. Answers the load of callers that never read: their answers
 are kept while memory and time allow. Any progress starts the time anew.

 @example
 decideUnread({stuckMs: 10_000, stillMs: 12_000, isPressed: false, isOverdue: false}); // 'keep'
 */
export function decideUnread({stuckMs, stillMs, isPressed, isOverdue}: UnreadQuestion): 'keep' | 'end' {
	return stillMs >= stuckMs && (isPressed || isOverdue) ? 'end' : 'keep';
}
