export type {AcquireAsk} from './acquire-ask.ts';
export {createDispatchClient} from './create-dispatch-client.ts';
export type {DispatchClient} from './dispatch-client.ts';
export type {DispatchClientOptions} from './dispatch-client-options.ts';
