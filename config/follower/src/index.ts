export {createConfigFollower} from './create-config-follower.ts';
export type {ConfigEvents} from './config-events.ts';
export type {ConfigFollower} from './config-follower.ts';
export type {ConfigFollowerOptions} from './config-follower-options.ts';
