export type {Change} from './change.ts';
export type {ConfigStore} from './config-store.ts';
export type {ConfigWatchResult} from './config-watch-result.ts';
export {createConfigStore} from './create-config-store.ts';
