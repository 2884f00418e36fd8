/**
A request as it goes out to an endpoint.
*/
export type ExchangeRequest = {
	/**
	`ip:port` of the endpoint.
	*/
	readonly address: string;
	readonly method: string;
	readonly path: string;
	/**
	Flat list of names and values.
	*/
	readonly headers: string[];
	readonly body: Uint8Array | undefined;
	/**
	Asked once a connection is there, just before the first byte goes out; `false` holds the request back.
	*/
	readonly canSend?: () => boolean;
};
