import * as z from 'zod';

/**
Form of a question on the wire.
*/
export const claimRequestSchema = z.object({
	account: z.string(), key: z.string(), fingerprint: z.string(), requestId: z.string(), node: z.string(),
});
