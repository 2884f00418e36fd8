export type {AcquireParameters} from './acquire-parameters.ts';
export {createDispatchClient} from './create-dispatch-client.ts';
export type {DispatchClient} from './dispatch-client.ts';
export type {DispatchClientOptions} from './dispatch-client-options.ts';
