import {z} from 'zod';

const amount = z.number().min(0);
const load = z.object({
	open: amount, prefillTokens: amount, longTokens: amount, shortOpen: amount, readTokens: amount, readMs: amount,
});
const placement = z.object({
	endpoint: z.string(), pool: z.string(), parts: z.array(z.string()), tokens: amount, isLong: z.boolean(),
});

/**
Form of the news of work that nodes send each other.
*/
export const newsSchema = z.object({
	origin: z.string(),
	nodes: z.int().min(0),
	loads: z.array(z.tuple([z.string(), load])),
	placements: z.array(placement),
});
