import * as z from 'zod';

/**
Form of a node's heartbeat to its peers: the revision that it knows, a digest of what it believes at that revision (missing while
entries may have lapsed), the version of its configuration (-1: none), the youngest word that nothing may have lapsed in the
store and its age in milliseconds, and when the heartbeat was sent, in milliseconds on the sender's steady clock.
*/
export const heartbeatSchema = z.object({
	revision: z.int(), digest: z.int().optional(), version: z.int().default(-1), confirmedAgoMs: z.number().min(0),
	confirmation: z.object({by: z.string(), number: z.int()}).optional(), sentAt: z.number().optional(),
});
