import * as z from 'zod';
import type {ClusterChanges} from '@valvesaddle/gateway-types';

/**
Form of changes that a follower of the store passes on. Peers run the same program and prove themselves by token, so only the
outline is checked.
*/
export const changesSchema = z.object({
	after: z.int(),
	changes: z.custom<ClusterChanges>(value => typeof value === 'object' && value !== null && 'revision' in value && 'changes' in value),
});
