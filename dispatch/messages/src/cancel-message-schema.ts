import * as z from 'zod';

/**
Wire schema of {@link CancelMessage}.
*/
export const cancelMessageSchema = z.object({duty: z.string(), requestId: z.string()});
