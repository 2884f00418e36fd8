/**
A request to an endpoint.
*/
export type ExchangeRequest = {
	/**
	`ip:port` of the endpoint.
	*/
	readonly address: string;
	readonly method: string;
	readonly path: string;
	/**
	Flat list of alternating names and values.
	*/
	readonly headers: string[];
	readonly body: Uint8Array | undefined;
	/**
	Called when a connection is open, just before the first byte is sent; `false` cancels the request.
	*/
	readonly canSend?: () => boolean;
};
