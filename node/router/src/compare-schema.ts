import * as z from 'zod';

/**
Form of a comparison of revisions on the wire.
*/
export const compareSchema = z.object({revision: z.int().min(0)});
