export {rankOwners} from './rank-owners.ts';
