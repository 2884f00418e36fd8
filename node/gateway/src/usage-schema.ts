import * as z from 'zod';

/**
Schema of the usage counts that nodes send each other: origin, window, client account and count.
*/
export const usageSchema = z.object({
	rows: z.array(z.tuple([z.string(), z.int(), z.string(), z.int().min(0)])),
});
