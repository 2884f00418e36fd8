export {createDispatchHost} from './create-dispatch-host.ts';
export type {DispatchHost} from './dispatch-host.ts';
export type {DispatchHostOptions} from './dispatch-host-options.ts';
