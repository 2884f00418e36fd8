import type * as z from 'zod';
import type {experimentSchema} from './experiment-schema.ts';

/**
An experiment as its file says it.
*/
export type Experiment = z.infer<typeof experimentSchema>;
