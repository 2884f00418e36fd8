import {z} from 'zod';

const amount = z.number().min(0);
const load = z.object({
	open: amount, prefillTokens: amount, longTokens: amount, shortOpen: amount,
});
const placement = z.object({
	endpoint: z.string(), pool: z.string(), parts: z.array(z.string()), tokens: z.number().min(0), isLong: z.boolean(),
});

/**
Form of the news of work that nodes send each other.
*/
export const loadNewsSchema = z.object({
	loads: z.array(z.tuple([z.string(), load])),
	placements: z.array(placement),
});
