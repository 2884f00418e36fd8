import type {Exchange} from './exchange.ts';
import type {ExchangeListener} from './exchange-listener.ts';
import type {ExchangeRequest} from './exchange-request.ts';

/**
Keeps connections to endpoints and sends requests over them, one at a time on each.
*/
export type ExchangeClient = {
	/**
	Whether a request to an address would find an open connection.
	*/
	readonly hasIdle: (address: string) => boolean;
	readonly send: (request: ExchangeRequest, listener: ExchangeListener) => Exchange;
	/**
	Closes the connections to an address once their exchanges have ended.
	*/
	readonly closeAddress: (address: string) => void;
	readonly close: () => Promise<void>;
};
