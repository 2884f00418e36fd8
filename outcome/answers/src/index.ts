export type {AnswerEnd} from './answer-end.ts';
export type {AnswerLog} from './answer-log.ts';
export type {AnswerPage} from './answer-page.ts';
export type {AnswerReply} from './answer-reply.ts';
export type {AnswerSource} from './answer-source.ts';
export type {AnswerStore} from './answer-store.ts';
export {createAnswerLog} from './create-answer-log.ts';
export {createAnswerStore} from './create-answer-store.ts';
