import type {GatewaySettings} from '@valvesaddle/settings';
import type {GatewayAddresses} from './gateway-addresses.ts';

/**
A gateway node.
*/
export type Gateway = {
	/**
	Listens and begins to follow the store.
	*/
	readonly start: () => Promise<GatewayAddresses>;
	/**
	Leaves gracefully: open requests run to their end.
	*/
	readonly drain: () => Promise<void>;
	/**
	Notes settings that were read anew. Those that can change while the node runs are in force at once.
	*/
	readonly reload: (settings: GatewaySettings) => void;
	/**
	Notes settings that could not be taken over; the last good ones stay.
	*/
	readonly rejectReload: (error: unknown) => void;
	readonly close: () => Promise<void>;
};
