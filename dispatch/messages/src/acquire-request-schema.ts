import * as z from 'zod';
import {acquireDefaults} from './acquire-defaults.ts';

/**
Wire schema of {@link AcquireRequest}.
*/
export const acquireRequestSchema = z.object({
	requestId: z.string(),
	duty: z.string(),
	account: z.string(),
	className: z.string(),
	node: z.string(),
	dataCentre: z.string(),
	waitedMs: z.number().min(0).default(acquireDefaults.waitedMs),
	ranMs: z.number().min(0).default(acquireDefaults.ranMs),
	admitted: z.boolean().default(acquireDefaults.admitted),
	promptTokens: z.number().min(0).default(acquireDefaults.promptTokens),
	tokensSoFar: z.number().min(0).default(acquireDefaults.tokensSoFar),
	session: z.string().optional().transform(value => value),
	repeatable: z.boolean().default(acquireDefaults.repeatable),
	avoid: z.array(z.string()).readonly().default(acquireDefaults.avoid),
	skipped: z.array(z.string()).readonly().default(acquireDefaults.skipped),
	forced: z.boolean().default(acquireDefaults.forced),
	trace: z.record(z.string(), z.string()).default(acquireDefaults.trace),
});
