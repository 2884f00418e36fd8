import type {GatewaySettings} from '@valvesaddle/settings';

/**
Options of `createGateway`.
*/
export type GatewayOptions = {
	readonly settings: GatewaySettings;
};
