/**
Endpoints that requested a cooldown from this node.
*/
export type CooldownTable = {
	/**
	Starts a cooldown of an endpoint, in milliseconds; one that ends later stays.
	*/
	readonly start: (endpoint: string, milliseconds: number) => void;
	/**
	Milliseconds until the endpoint's cooldown ends; 0 without one.
	*/
	readonly getRemainingMs: (endpoint: string) => number;
};
