export {createDutyIndex} from './create-duty-index.ts';
export type {DutyIndex} from './duty-index.ts';
export {rankOwners} from './rank-owners.ts';
