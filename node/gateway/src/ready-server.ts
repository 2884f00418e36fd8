/**
HTTP server for the load balancer's health checks.
*/
export type ReadyServer = {
	readonly listen: () => Promise<string>;
	readonly close: () => Promise<void>;
};
