import type * as z from 'zod';
import type {stateRequestSchema} from './state-request-schema.ts';

/**
A question for a peer's state.
*/
export type StateRequest = z.infer<typeof stateRequestSchema>;
