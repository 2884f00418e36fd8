import * as z from 'zod';
import {isErrorCode, type ErrorCode} from '@valvesaddle/error';

/**
Wire schema of {@link AcquireReply}.
*/
export const acquireReplySchema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('granted'),
		grant: z.object({
			grantId: z.string(), endpointId: z.string(), url: z.string(),
		}),
	}),
	z.object({
		kind: z.literal('refused'),
		code: z.custom<ErrorCode>(value => typeof value === 'string' && isErrorCode(value)),
		message: z.string(),
		retryAfterMs: z.number(),
	}),
	z.object({kind: z.literal('moved'), owner: z.string().optional().transform(value => value), admitted: z.boolean()}),
]);
