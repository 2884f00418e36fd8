/**
A client account as the gateway knows it.
*/
export type GatewayAccount = {
	readonly name: string;
	/**
	SHA-256 of its API keys, in base64.
	*/
	readonly keyHashes: readonly string[];
	/**
	Goes before the priority of a route when set.
	*/
	readonly priority: number | undefined;
};
