import {z} from 'zod';

const amount = z.number().min(0);
/**
Ranks of requests at an engine.
*/
const mostRanks = 64;
const load = z.tuple([z.string(), amount, z.array(amount).max(mostRanks), amount, amount, amount, amount, amount])
	.transform(([endpoint, open, unread, sensitivity, witnesses, silent, readTokens, readMs]) => [endpoint, {
		open, unread, sensitivity, witnesses, silent, readTokens, readMs,
	}] as const);
const placement = z.tuple([z.string(), z.string(), z.array(z.string()), amount])
	.transform(([endpoint, pool, parts, tokens]) => ({
		endpoint, pool, parts, tokens,
	}));

/**
Form of the news of work that nodes send each other: rows without names, as `formatNews` writes them, since a busy relay sends
them to each of its members 17 times a second.
*/
export const newsSchema = z.object({nodes: z.int().min(0), loads: z.array(load), placements: z.array(placement)});
