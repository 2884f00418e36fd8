import * as z from 'zod';

/**
Wire schema of {@link ReleaseReport}.
*/
export const releaseReportSchema = z.object({
	grantId: z.string(),
	duty: z.string(),
	outcome: z.enum(['complete', 'failed', 'not-run', 'cancelled']),
	tokens: z.number().min(0),
	firstTokenMs: z.number().optional().transform(value => value),
	interTokenMs: z.number().optional().transform(value => value),
	retryAfterMs: z.number().min(0).optional().transform(value => value),
});
