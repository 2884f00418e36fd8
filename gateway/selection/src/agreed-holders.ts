/**
Endpoint of each prompt that all nodes would take, were all alike.
*/
export type AgreedHolders = {
	/**
	The agreed one of the candidates; `ready` are all that serve.
	*/
	readonly find: (key: string, ready: readonly string[], candidates: ReadonlySet<string>) => string | undefined;
	/**
	The endpoints that serve have changed.
	*/
	readonly clear: () => void;
};
