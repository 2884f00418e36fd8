export type {ClaimResponse} from './claim-response.ts';
export type {ClaimClient} from './claim-client.ts';
export type {ClaimRequest} from './claim-request.ts';
export {claimRequestSchema} from './claim-request-schema.ts';
export type {ClaimShard} from './claim-shard.ts';
export {createClaimClient} from './create-claim-client.ts';
export {createClaimShard} from './create-claim-shard.ts';
