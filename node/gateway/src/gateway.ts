import type {GatewaySettings} from '@valvesaddle/settings';
import type {GatewayAddresses} from './gateway-addresses.ts';

/**
A gateway node.
*/
export type Gateway = {
	/**
	Opens the listeners and starts to follow the store.
	*/
	readonly start: () => Promise<GatewayAddresses>;
	/**
	Stops the node after open requests have finished or the grace period is over.
	*/
	readonly drain: () => Promise<void>;
	/**
	Logs that changed settings were read.
	*/
	readonly reload: (settings: GatewaySettings) => void;
	/**
	Logs why changed settings were rejected; the last valid ones stay in use.
	*/
	readonly rejectReload: (error: unknown) => void;
	readonly close: () => Promise<void>;
};
