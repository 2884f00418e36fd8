import type * as z from 'zod';
import type {stateQuestionSchema} from './state-question-schema.ts';

/**
A question for a peer's state.
*/
export type StateQuestion = z.infer<typeof stateQuestionSchema>;
