export {checkSettings} from './check-settings.ts';
export type {GatewaySettings} from './gateway-settings.ts';
export {parseGatewaySettings} from './parse-gateway-settings.ts';
export {parseSettings} from './parse-settings.ts';
export {parseToml} from './parse-toml.ts';
export type {Settings} from './settings.ts';
export {validateTable} from './validate-table.ts';
