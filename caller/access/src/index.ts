export type {Access} from './access.ts';
export type {AccessIndex} from './access-index.ts';
export type {AccessRequest} from './access-request.ts';
export {createAccessIndex} from './create-access-index.ts';
export {hashKey} from './hash-key.ts';
