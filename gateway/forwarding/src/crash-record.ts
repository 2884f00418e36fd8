/**
What is known of the crashes of endpoints that ran a request.
*/
export type CrashRecord = {
	/**
	Digest of the request; computed when it is first needed.
	*/
	readonly getDigest: () => string;
	/**
	Whether the request must reach no further endpoint.
	*/
	readonly isQuarantined: () => boolean;
	/**
	Takes the right to send the request to one endpoint although it is quarantined.
	*/
	readonly takeTrial: () => boolean;
	/**
	Key by which all nodes choose the same endpoint for a request that may have crashed others; `undefined` without a suspicion.
	*/
	readonly getIsolationKey: () => string | undefined;
	/**
	Records that the connection to an incarnation broke while it ran the request.
	*/
	readonly recordBroken: (incarnation: string) => void;
	readonly recordAnswered: () => void;
};
