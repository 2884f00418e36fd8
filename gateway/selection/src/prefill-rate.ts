/**
Prefill rate of a typical engine of a pool, in tokens per millisecond.
*/
export type PrefillRate = {
	readonly get: () => number;
	/**
	Rate of an engine that serves nothing else.
	*/
	readonly getBest: () => number;
	/**
	Records the time to the first token of a prompt.
	*/
	readonly record: (tokens: number, milliseconds: number) => void;
};
