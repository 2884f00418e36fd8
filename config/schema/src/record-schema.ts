import * as z from 'zod';
import {configurationSchema} from './configuration-schema.ts';

/**
Schema of a stored configuration record.
*/
export const recordSchema = z.object({
	revision: z.int().min(1),
	changeId: z.string(),
	author: z.string(),
	acceptedAt: z.number(),
	recentChanges: z.array(z.object({changeId: z.string(), revision: z.int()}).readonly()).readonly(),
	configuration: configurationSchema,
});
