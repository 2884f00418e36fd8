/**
Endpoints that asked this node for no requests for some time.
*/
export type CooldownTable = {
	/**
	Starts the cooldown of an endpoint, in milliseconds; one that ends later holds on.
	*/
	readonly start: (endpoint: string, milliseconds: number) => void;
	/**
	Milliseconds until the endpoint takes requests again; 0 when it does now.
	*/
	readonly getRemainingMs: (endpoint: string) => number;
};
