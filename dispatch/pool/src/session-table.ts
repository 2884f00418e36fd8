/**
Endpoint that served each session last, as a hint to where its prefix is cached.
*/
export type SessionTable = {
	readonly find: (session: string | undefined) => string | undefined;
	readonly record: (session: string | undefined, endpointId: string) => void;
};
