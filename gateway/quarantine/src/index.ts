export {hashRequest} from './hash-request.ts';
export type {RequestIdentity} from './request-identity.ts';
