/**
What the lanes of a pool have to bear beside the prompts that come in.
*/
export type LaneDemand = {
	/**
	Requests that are open at endpoints for short prompts, in endpoints that they would fill.
	*/
	readonly shortFill: number;
	/**
	Prompt tokens that one endpoint reads in a millisecond.
	*/
	readonly tokensPerMs: number;
	/**
	Endpoints that read more slowly than others of the pool.
	*/
	readonly slow: ReadonlySet<string>;
};
