import * as z from 'zod';

/**
Wire format of an `answer.read` request.
*/
export const readRequestSchema = z.object({requestId: z.string(), account: z.string(), offset: z.int().min(0)});
