/**
Work of one node at one endpoint.
*/
export type EndpointLoad = {
	/**
	Requests that are open.
	*/
	readonly open: number;
	/**
	Prompt tokens that are still to be read before first tokens.
	*/
	readonly prefillTokens: number;
	/**
	Those of them that belong to long prompts.
	*/
	readonly longTokens: number;
	/**
	Requests with short prompts that are open.
	*/
	readonly shortOpen: number;
	/**
	Prompt tokens that it read of late, with those that were before them, and the milliseconds that this took: its pace.
	*/
	readonly readTokens: number;
	readonly readMs: number;
};
