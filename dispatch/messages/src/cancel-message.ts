/**
Cancels a waiting request.
*/
export type CancelMessage = {
	/**
	Dispatcher shard; see `DutyIndex`.
	*/
	readonly duty: string;
	readonly requestId: string;
};
