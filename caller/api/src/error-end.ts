import type {AnswerEnd} from '@valvesaddle/answers';

/**
The end of an answer that failed.
*/
export type ErrorEnd = Extract<AnswerEnd, {kind: 'error'}>;
