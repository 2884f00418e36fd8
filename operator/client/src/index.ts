export {createOperatorClient} from './create-operator-client.ts';
export type {OperatorClientOptions} from './operator-client-options.ts';
