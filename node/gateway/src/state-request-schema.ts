import * as z from 'zod';

/**
Form of a question for a peer's state: all of it, or what is newer than a revision.
*/
export const stateRequestSchema = z.object({since: z.int().optional()});
