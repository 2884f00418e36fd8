export type {UncoordinatedClientOptions} from './uncoordinated-client-options.ts';
export {createUncoordinatedClient} from './create-uncoordinated-client.ts';
