import {z} from 'zod';

/**
Form of a node's heartbeat to its peers: the revision that it knows, and how long ago, in milliseconds, a node in touch with
the store confirmed that nothing may have lapsed there.
*/
export const heartbeatSchema = z.object({revision: z.int(), confirmedAgoMs: z.number().min(0)});
