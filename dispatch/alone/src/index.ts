export type {AloneClientOptions} from './alone-client-options.ts';
export {createAloneClient} from './create-alone-client.ts';
