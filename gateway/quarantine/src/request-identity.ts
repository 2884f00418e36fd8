/**
What identifies a request across the attempts of its caller.
*/
export type RequestIdentity = {
	readonly host: string;
	/**
	Name of the client account; `undefined` for a public route.
	*/
	readonly account: string | undefined;
	readonly method: string;
	/**
	Path with query.
	*/
	readonly path: string;
	readonly body: Uint8Array | undefined;
};
