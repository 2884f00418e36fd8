import type {EndpointEntry} from './endpoint-entry.ts';

/**
 Creates an endpoint's entry as it lies in the store, with all that an endpoint says of itself.

 @example
 createFakeEntry({pool: 'desk', address: '127.0.0.1:8080', slots: 4, state: 'ready'}).service; // 'desk'
 */
export function createFakeEntry({pool, address, slots, state, born}: EndpointEntry) {
	return {
		service: pool, address, zone: 'a', version: 'v1', slots, state, 'cold-remaining-ms': 0, sequence: 1, ...(born !== undefined && {born}),
	};
}
