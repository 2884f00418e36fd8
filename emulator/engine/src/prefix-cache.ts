/**
Shared prompt parts that an engine keeps.
*/
export type PrefixCache = {
	readonly has: (id: string) => boolean;
	/**
	Adds a part, or marks it as just used.
	*/
	readonly add: (id: string, tokens: number) => void;
	/**
	Drops parts until at most so many tokens are kept.
	*/
	readonly shrink: (most: number) => void;
	readonly clear: () => void;
};
