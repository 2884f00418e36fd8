export type {ClaimAnswer} from './claim-answer.ts';
export type {ClaimClient} from './claim-client.ts';
export type {ClaimQuestion} from './claim-question.ts';
export {claimQuestionSchema} from './claim-question-schema.ts';
export type {ClaimShard} from './claim-shard.ts';
export {createClaimClient} from './create-claim-client.ts';
export {createClaimShard} from './create-claim-shard.ts';
