import * as z from 'zod';

/**
Schema of a request for a peer's cluster state: all of it, or the entries newer than a revision.
*/
export const stateRequestSchema = z.object({since: z.int().optional()});
