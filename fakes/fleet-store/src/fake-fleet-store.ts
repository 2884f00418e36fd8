import type {FakeServer} from '@valvesaddle/fake-http';
import type {EndpointEntry} from './endpoint-entry.ts';
import type {StoreFault} from './store-fault.ts';

/**
A stand-in for the metadata store.
*/
export type FakeFleetStore = FakeServer & {
	/**
	Writes as the operator or an endpoint does.
	*/
	readonly put: (key: string, value: unknown) => void;
	/**
	Writes a value as it lies in the store, whatever it is.
	*/
	readonly putBytes: (key: string, value: string) => void;
	readonly remove: (key: string) => void;
	/**
	Publishes a configuration as the operator does.
	*/
	readonly publish: (configuration: unknown) => void;
	/**
	Registers an endpoint, or changes its entry, as the endpoint does.
	*/
	readonly registerEndpoint: (id: string, entry: EndpointEntry) => void;
	readonly keys: () => readonly string[];
	readonly setFault: (fault: StoreFault | undefined) => void;
	/**
	Calls so far, by their name.
	*/
	readonly calls: () => ReadonlyMap<string, number>;
	/**
	Ends a lease and drops its keys, as when its time is over.
	*/
	readonly endLeases: () => void;
};
