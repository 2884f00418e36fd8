export {checkSettings} from './check-settings.ts';
export {parseSettings} from './parse-settings.ts';
export type {Settings} from './settings.ts';
