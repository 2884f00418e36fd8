import type {ErrorCode} from '@valvesaddle/error';
import type {Grant} from './grant.ts';

/**
Reply to an {@link AcquireRequest}.
*/
export type AcquireReply =
	| {readonly kind: 'granted'; readonly grant: Grant}
	| {readonly kind: 'refused'; readonly code: ErrorCode; readonly message: string; readonly retryAfterMs: number}
	| {readonly kind: 'moved'; readonly owner: string | undefined; readonly admitted: boolean};
