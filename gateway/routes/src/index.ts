export {createRouteIndex} from './create-route-index.ts';
export {findPauseObjectives} from './find-pause-objectives.ts';
export {hashApiKey} from './hash-api-key.ts';
export type {RouteIndex} from './route-index.ts';
