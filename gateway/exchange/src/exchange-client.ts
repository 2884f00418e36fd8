import type {Exchange} from './exchange.ts';
import type {ExchangeListener} from './exchange-listener.ts';
import type {ExchangeRequest} from './exchange-request.ts';

/**
Sends requests to endpoints over pooled connections, one at a time on each.
*/
export type ExchangeClient = {
	/**
	Whether an idle connection to the address is open.
	*/
	readonly hasIdle: (address: string) => boolean;
	readonly send: (request: ExchangeRequest, listener: ExchangeListener) => Exchange;
	/**
	Closes idle connections to an address now, and busy ones when their exchanges have ended.
	*/
	readonly closeAddress: (address: string) => void;
	readonly close: () => Promise<void>;
};
