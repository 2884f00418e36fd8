import * as z from 'zod';

/**
Form of a cancel on the wire.
*/
export const cancelMessageSchema = z.object({duty: z.string(), requestId: z.string()});
