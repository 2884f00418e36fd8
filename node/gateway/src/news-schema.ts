import {z} from 'zod';

const amount = z.number().min(0);
/**
Ranks of requests at an engine.
*/
const mostRanks = 64;
const load = z.object({
	open: amount, unread: z.array(amount).max(mostRanks), sensitivity: amount, witnesses: amount, silent: amount, readTokens: amount, readMs: amount,
});
const placement = z.object({
	endpoint: z.string(), pool: z.string(), parts: z.array(z.string()), tokens: amount,
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
