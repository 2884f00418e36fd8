import * as z from 'zod';

/**
Form of a request to read an answer on the wire.
*/
export const readRequestSchema = z.object({requestId: z.string(), account: z.string(), offset: z.int().min(0)});
