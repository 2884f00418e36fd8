import * as z from 'zod';

/**
Wire format of an `answer.read` request.
*/
export const readRequestSchema = z.object({
	requestId: z.string(),
	account: z.string(),
	offset: z.int().min(0),
	/**
	Characters of a reply that the reader has; without it the reader takes a reply only as a whole.
	*/
	replyOffset: z.int().min(0).optional(),
});
