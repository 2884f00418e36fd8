/**
Memory that a running request holds at an engine, in tokens.
*/
export type HeldMemory = {
	/**
	Held now: its prompt, without parts that another request already counts, and what it has generated.
	*/
	readonly tokens: number;
	/**
	Expected to be generated until it ends.
	*/
	readonly growthTokens: number;
	/**
	Time until it ends and frees all of it, in milliseconds.
	*/
	readonly endsInMs: number;
};
