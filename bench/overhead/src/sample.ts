/**
Times of one answer, in milliseconds.
*/
export type Sample = {
	readonly firstTokenMs: number;
	readonly wholeMs: number;
	readonly tokens: number;
};
