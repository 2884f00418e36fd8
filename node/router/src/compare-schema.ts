import * as z from 'zod';

/**
Wire format of a `configuration.compare` request.
*/
export const compareSchema = z.object({revision: z.int().min(0)});
