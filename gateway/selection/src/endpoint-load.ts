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
};
