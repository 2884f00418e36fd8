export {createEventStreamFilter} from './create-event-stream-filter.ts';
export {createExchangeClient} from './create-exchange-client.ts';
export type {EventStreamFilter} from './event-stream-filter.ts';
export type {Exchange} from './exchange.ts';
export type {ExchangeClient} from './exchange-client.ts';
export type {ExchangeClientOptions} from './exchange-client-options.ts';
export type {ExchangeListener} from './exchange-listener.ts';
export type {ExchangeRequest} from './exchange-request.ts';
export type {Flow} from './flow.ts';
