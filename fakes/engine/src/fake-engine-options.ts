/**
Options of `startFakeEngine`; times in milliseconds.
*/
export type FakeEngineOptions = {
	readonly host?: string;
	readonly port?: number;
	/**
	Requests in one batch; further ones wait by priority.
	*/
	readonly batch?: number;
	/**
	Length of a step with one request.
	*/
	readonly stepMs?: number;
	/**
	Added to the step by every further request in the batch.
	*/
	readonly stepMsPerRequest?: number;
	readonly prefillMsPerToken?: number;
	/**
	Age of the load reports.
	*/
	readonly reportLagMs?: number;
	/**
	Tokens of an answer whose request sets no limit.
	*/
	readonly defaultTokens?: number;
	/**
	Sessions whose prefix is kept.
	*/
	readonly cachedPrefixes?: number;
};
