import * as z from 'zod';

/**
Wire schema of {@link ProgressMessage}.
*/
export const progressMessageSchema = z.object({
	duty: z.string(),
	node: z.string(),
	reports: z.array(z.object({
		grantId: z.string(),
		tokens: z.number().min(0),
		firstTokenMs: z.number().optional().transform(value => value),
	})).readonly(),
});
