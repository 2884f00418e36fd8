export {createRouteIndex} from './create-route-index.ts';
export {hashApiKey} from './hash-api-key.ts';
export type {RouteIndex} from './route-index.ts';
