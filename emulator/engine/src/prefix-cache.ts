/**
Prompt parts whose KV cache entries an engine keeps.
*/
export type PrefixCache = {
	readonly has: (id: string) => boolean;
	/**
	Adds a part, or marks it as the most recently used.
	*/
	readonly add: (id: string, tokens: number) => void;
	/**
	Evicts the least recently used parts until at most this many tokens are cached.
	*/
	readonly shrink: (maximumTokens: number) => void;
	readonly clear: () => void;
};
