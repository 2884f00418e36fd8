/**
Prefers one endpoint for each prompt prefix, the same on every node that lists the same endpoints as ready.
*/
export type PreferredEndpoints = {
	/**
	First of the candidates in the prefix's order of all `ready` endpoints; `key` identifies the prefix.
	*/
	readonly find: (key: string, ready: readonly string[], candidates: ReadonlySet<string>) => string | undefined;
	/**
	Drops the cached orders; to be called when the ready endpoints change.
	*/
	readonly clear: () => void;
};
