/**
How long an attempt may be silent before it is cut short and goes on elsewhere, in milliseconds.
*/
export type StallTimeouts = {
	readonly beforeFirstTokenMs: number;
	readonly betweenTokensMs: number;
};
