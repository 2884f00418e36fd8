export {createRouter} from './create-router.ts';
export type {Router} from './router.ts';
export type {RouterAddresses} from './router-addresses.ts';
export type {RouterOptions} from './router-options.ts';
