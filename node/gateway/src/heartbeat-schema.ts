import * as z from 'zod';

/**
Schema of a node's heartbeat to its peers: the revision and digest of its cluster state (no digest while removals are pending), the
version of its configuration (-1: none), the latest confirmation of the store and its age in milliseconds, and the time of sending
in milliseconds on the sender's monotonic clock.
*/
export const heartbeatSchema = z.object({
	revision: z.int(), digest: z.int().optional(), version: z.int().default(-1), confirmedAgoMs: z.number().min(0),
	confirmation: z.object({by: z.string(), number: z.int()}).optional(), sentAt: z.number().optional(),
});
