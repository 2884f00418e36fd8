export {createDarkEngines} from './create-dark-engines.ts';
export {createDraftsBesideFaults} from './create-drafts-beside-faults.ts';
export {createDraftsBesideOverload} from './create-drafts-beside-overload.ts';
export {createDraftsBesideQueries} from './create-drafts-beside-queries.ts';
export {createLargeFleet} from './create-large-fleet.ts';
export {createPausingEngines} from './create-pausing-engines.ts';
export {createWeakNodes} from './create-weak-nodes.ts';
