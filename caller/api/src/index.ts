export type {CallerApi} from './caller-api.ts';
export type {CallerApiOptions} from './caller-api-options.ts';
export {createCallerApi} from './create-caller-api.ts';
