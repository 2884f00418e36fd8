import type {ErrorCode, ExecutionStatus} from '@valvesaddle/error';
import type {AnswerReply} from './answer-reply.ts';

/**
How an answer ended.
*/
export type AnswerEnd =
	| {readonly kind: 'complete'; readonly finishReason: string; readonly tokens: number}
	| {readonly kind: 'reply'; readonly reply: AnswerReply}
	/**
	Another attempt holds the claim; the answer is read from that request.
	*/
	| {readonly kind: 'held'; readonly requestId: string; readonly node: string; readonly fingerprint: string}
	| {
		readonly kind: 'error';
		readonly code: ErrorCode;
		readonly message: string;
		/**
		Whether the request may have run, over all attempts.
		*/
		readonly ran: ExecutionStatus;
		readonly retryAfterMs: number | undefined;
	};
