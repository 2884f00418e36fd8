import type {Configuration} from '@valvesaddle/types';

/**
 Which dispatch duty a request or an endpoint falls to, under one configuration. A pool is one duty, named like it, or
 is split over several, `<pool>#<number>`, when it is too large for one dispatcher.
 */
export type DutyIndex = {
	/**
	Duty for a request: in proportion to the endpoints of each, and always the same for the same key.
	*/
	readonly chooseDuty: (pool: string, key: string) => string;
	/**
	Another duty of the same pool, for a request that the first one refused; `undefined` when there is none.
	*/
	readonly chooseOther: (pool: string, duty: string) => string | undefined;
	/**
	Duty that an endpoint belongs to.
	*/
	readonly findDuty: (pool: string, endpointId: string) => string;
	/**
	The configuration as the dispatcher of a duty needs it: only with the duty's endpoints.
	*/
	readonly getConfiguration: (duty: string) => Configuration;
	/**
	Whether the configuration has such a duty.
	*/
	readonly isDuty: (duty: string) => boolean;
	/**
	Pool of a duty.
	*/
	readonly findPool: (duty: string) => string;
};
