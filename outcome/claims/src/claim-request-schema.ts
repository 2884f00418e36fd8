import * as z from 'zod';

/**
Wire format of a claim request.
*/
export const claimRequestSchema = z.object({
	account: z.string(), key: z.string(), fingerprint: z.string(), requestId: z.string(), node: z.string(),
});
