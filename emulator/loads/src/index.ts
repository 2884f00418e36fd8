export {createDraftsBesideQueries} from './create-drafts-beside-queries.ts';
