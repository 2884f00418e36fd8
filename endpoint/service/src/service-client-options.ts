/**
Options of `createServiceClient`.
*/
export type ServiceClientOptions = {
	readonly connectMs: number;
	/**
	Longest time for a whole reply, in milliseconds.
	*/
	readonly replyMs: number;
};
