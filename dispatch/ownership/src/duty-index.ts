import type {Configuration} from '@valvesaddle/types';

/**
 Maps requests and endpoints to duties under one configuration. A duty is a dispatcher shard: a whole pool, named like
 it, or one part, `<pool>#<number>`, of a pool that is too large for one dispatcher.
 */
export type DutyIndex = {
	/**
	Chooses the duty for a request: in proportion to the endpoints of each duty, and always the same for the same key.
	*/
	readonly chooseDuty: (pool: string, key: string) => string;
	/**
	Chooses another duty of the same pool, for a request that the first one refused; `undefined` if there is none.
	*/
	readonly chooseOther: (pool: string, duty: string) => string | undefined;
	/**
	Finds the duty of an endpoint.
	*/
	readonly findDuty: (pool: string, endpointId: string) => string;
	/**
	Returns the configuration with only the endpoints of the duty.
	*/
	readonly getConfiguration: (duty: string) => Configuration;
	/**
	Checks whether the configuration contains the duty.
	*/
	readonly isDuty: (duty: string) => boolean;
	/**
	Finds the pool of a duty.
	*/
	readonly findPool: (duty: string) => string;
};
