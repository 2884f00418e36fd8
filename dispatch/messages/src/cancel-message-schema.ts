import {z} from 'zod';

/**
Form of a cancel on the wire.
*/
export const cancelMessageSchema = z.object({pool: z.string(), requestId: z.string()});
