import * as z from 'zod';

/**
Wire schema of {@link RegisterRequest}.
*/
export const registerRequestSchema = z.object({
	duty: z.string(),
	node: z.string(),
	grants: z.array(z.object({
		grantId: z.string(),
		requestId: z.string(),
		endpointId: z.string(),
		account: z.string(),
		className: z.string(),
		tokens: z.number().min(0),
	})).readonly(),
});
