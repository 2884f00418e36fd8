import * as z from 'zod';
import type {ClusterChanges} from '@valvesaddle/gateway-types';

/**
Schema of the changes that a follower of the store forwards. Peers run the same program and authenticate with a token, so only
the outline is checked.
*/
export const changesSchema = z.object({
	after: z.int(),
	changes: z.custom<ClusterChanges>(value => typeof value === 'object' && value !== null && 'revision' in value && 'changes' in value),
});
