export {createOperatorServer} from './create-operator-server.ts';
export type {NodeStatus} from './node-status.ts';
export type {OperatorServer} from './operator-server.ts';
export type {OperatorServerOptions} from './operator-server-options.ts';
