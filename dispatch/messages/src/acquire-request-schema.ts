import {z} from 'zod';

/**
Form of an acquire request on the wire.
*/
export const acquireRequestSchema = z.object({
	requestId: z.string(),
	pool: z.string(),
	account: z.string(),
	className: z.string(),
	node: z.string(),
	dataCentre: z.string(),
	waitedMs: z.number().min(0),
	admitted: z.boolean(),
	promptTokens: z.number().min(0),
	tokensSoFar: z.number().min(0),
	session: z.string().optional().transform(value => value),
	repeatable: z.boolean(),
	avoid: z.array(z.string()).readonly(),
	skipped: z.array(z.string()).readonly(),
	forced: z.boolean(),
	trace: z.record(z.string(), z.string()),
});
