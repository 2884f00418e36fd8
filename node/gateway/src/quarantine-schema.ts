import * as z from 'zod';

/**
Schema of the crashes that nodes send each other: digest of the request, endpoint, and whether the request was answered since.
*/
export const quarantineSchema = z.object({
	rows: z.array(z.tuple([z.string(), z.string(), z.boolean()])),
});
