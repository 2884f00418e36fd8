import * as z from 'zod';

/**
Wire format of a claim response.
*/
export const claimResponseSchema = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('claimed')}),
	z.object({
		kind: z.literal('held'), requestId: z.string(), node: z.string(), fingerprint: z.string(),
	}),
	z.object({kind: z.literal('free')}),
]);
