export {createGateway} from './create-gateway.ts';
export type {Gateway} from './gateway.ts';
export type {GatewayOptions} from './gateway-options.ts';
