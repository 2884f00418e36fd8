/**
Work of one node at one endpoint.
*/
export type EndpointLoad = {
	/**
	Requests that are open.
	*/
	readonly open: number;
	/**
	Prompt tokens that are still to be read before first tokens, by the rank of their requests, 0 first.
	*/
	readonly pendingPrefill: readonly number[];
	/**
	How much its open streams suffer from pauses: the sum of their sensitivities.
	*/
	readonly sensitivity: number;
	/**
	1 when the node ought to have heard of it of late, and 1 when it has not.
	*/
	readonly observers: number;
	readonly stalledObservers: number;
	/**
	Prompt tokens that it read of late, with those that were before them, and the milliseconds that this took: its pace.
	*/
	readonly prefilledTokens: number;
	readonly prefillMs: number;
};
