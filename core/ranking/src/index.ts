export {rankByHash} from './rank-by-hash.ts';
