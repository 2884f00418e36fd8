/**
A caller's request to a node of the fleet.
*/
export type CallOptions = {
	readonly key?: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly method?: 'GET' | 'POST';
	readonly body?: unknown;
	readonly signal?: AbortSignal;
};
