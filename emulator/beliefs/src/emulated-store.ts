import type {
	ClusterStore,
	GatewayConfiguration,
	GatewayNode,
	ServingEndpoint,
} from '@valvesaddle/gateway-types';
import type {StoreResponseMode} from './store-response-mode.ts';

/**
The metadata store, with its faults.
*/
export type EmulatedStore = {
	/**
	The store as one node reaches it.
	*/
	readonly open: (node: GatewayNode) => ClusterStore;
	readonly writeConfiguration: (configuration: GatewayConfiguration) => void;
	readonly writeEndpoint: (endpoint: ServingEndpoint) => void;
	readonly removeEndpoint: (id: string) => void;
	/**
	Whether watches hear nothing; when that ends, history is dropped and the watches that wait are cut.
	*/
	readonly setQuiet: (isQuiet: boolean) => void;
	/**
	Time that is added to each answer, in milliseconds.
	*/
	readonly setAddedLatency: (addedMs: number) => void;
	/**
	Treats the calls of some nodes in a way from now on; `reset` also cuts their watches that wait.
	*/
	readonly setResponseMode: (treatment: StoreResponseMode, nodes: ReadonlySet<string>) => void;
	/**
	A node that is no more hears no answer.
	*/
	readonly endNode: (node: string) => void;
	/**
	Calls so far, by their name.
	*/
	readonly calls: () => Readonly<Record<string, number>>;
	/**
	Watches so far that came back empty although something had changed.
	*/
	readonly countMissedWatches: () => number;
};
