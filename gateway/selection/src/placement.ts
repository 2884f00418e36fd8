/**
A prompt that was sent to an endpoint.
*/
export type Placement = {
	/**
	ID of the endpoint's incarnation.
	*/
	readonly endpoint: string;
	readonly pool: string;
	/**
	Shared parts of the prompt, in its order.
	*/
	readonly parts: readonly string[];
	/**
	Tokens that the endpoint had to add to its cache.
	*/
	readonly tokens: number;
};
