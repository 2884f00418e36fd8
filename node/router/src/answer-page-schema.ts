import * as z from 'zod';
import {isErrorCode, type ErrorCode} from '@valvesaddle/error';
import type {AnswerEnd} from '@valvesaddle/answers';

const endSchema = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('complete'), finishReason: z.string(), tokens: z.number()}),
	z.object({kind: z.literal('reply'), reply: z.object({status: z.int(), contentType: z.string(), body: z.string()})}),
	z.object({
		kind: z.literal('held'), requestId: z.string(), node: z.string(), fingerprint: z.string(),
	}),
	z.object({
		kind: z.literal('error'),
		code: z.custom<ErrorCode>(value => typeof value === 'string' && isErrorCode(value)),
		message: z.string(),
		ran: z.enum(['no', 'maybe', 'yes']),
		retryAfterMs: z.number().optional().transform(value => value),
	}),
]);

/**
Wire format of a page of an answer.
*/
export const answerPageSchema = z.object({
	parts: z.array(z.string()).readonly(),
	end: endSchema.optional().transform((value): AnswerEnd | undefined => value),
	/**
	Characters of a reply that are to be read after this page.
	*/
	replyRest: z.int().min(0).default(0),
});
