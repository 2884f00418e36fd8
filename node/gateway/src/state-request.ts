import type * as z from 'zod';
import type {stateRequestSchema} from './state-request-schema.ts';

/**
A request for a peer's cluster state.
*/
export type StateRequest = z.infer<typeof stateRequestSchema>;
