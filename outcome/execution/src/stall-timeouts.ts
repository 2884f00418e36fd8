/**
Time without a token after which an attempt is aborted and retried at another endpoint, in milliseconds.
*/
export type StallTimeouts = {
	readonly beforeFirstTokenMs: number;
	readonly betweenTokensMs: number;
};
