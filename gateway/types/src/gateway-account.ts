/**
A client account in the gateway configuration.
*/
export type GatewayAccount = {
	readonly name: string;
	/**
	SHA-256 of its API keys, in base64.
	*/
	readonly keyHashes: readonly string[];
	/**
	Orders requests of routes with equal priority, 0 first; `undefined` counts as 0.
	*/
	readonly priority: number | undefined;
	/**
	Part of a contended pool relative to other accounts; `undefined` counts as 1, `NaN` stands for one that cannot be read.
	*/
	readonly weight?: number | undefined;
};
