export {createFront} from './create-front.ts';
export type {Front} from './front.ts';
export type {FrontOptions} from './front-options.ts';
