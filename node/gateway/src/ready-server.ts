/**
Tells the balancer whether the node takes callers.
*/
export type ReadyServer = {
	readonly listen: () => Promise<string>;
	readonly close: () => Promise<void>;
};
