import {z} from 'zod';

/**
Form of a node's heartbeat to its peers.
*/
export const heartbeatSchema = z.object({revision: z.int(), isSteady: z.boolean()});
