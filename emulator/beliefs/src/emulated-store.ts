import type {
	ClusterStore,
	GatewayConfiguration,
	GatewayNode,
	ServingEndpoint,
} from '@valvesaddle/gateway-types';
import type {StoreResponseMode} from './store-response-mode.ts';

/**
An emulated metadata store with faults.
*/
export type EmulatedStore = {
	/**
	Creates the client of one node.
	*/
	readonly open: (node: GatewayNode) => ClusterStore;
	readonly writeConfiguration: (configuration: GatewayConfiguration) => void;
	readonly writeEndpoint: (endpoint: ServingEndpoint) => void;
	readonly removeEndpoint: (id: string) => void;
	/**
	Sets whether watches deliver no events. At the end, the history is dropped and open watches are interrupted.
	*/
	readonly setQuiet: (isQuiet: boolean) => void;
	/**
	Sets the latency added to each answer, in milliseconds.
	*/
	readonly setAddedLatency: (addedLatencyMs: number) => void;
	/**
	Sets how the store responds to calls of some nodes; `reset` also interrupts their open watches.
	*/
	readonly setResponseMode: (mode: StoreResponseMode, nodes: ReadonlySet<string>) => void;
	/**
	Sends no further answers to a terminated node.
	*/
	readonly endNode: (node: string) => void;
	/**
	Number of calls so far, by name.
	*/
	readonly calls: () => Readonly<Record<string, number>>;
	/**
	Number of watches so far that ended without changes although there were some.
	*/
	readonly countMissedWatches: () => number;
};
