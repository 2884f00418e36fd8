/**
Options of `createServiceClient`.
*/
export type ServiceClientOptions = {
	readonly connectMs: number;
	/**
	Timeout for the response headers and between two chunks of the body, in milliseconds.
	*/
	readonly replyMs: number;
};
