/**
Forwards complete server-sent events, each once, across several runs of one request. Events without an id are always forwarded.
*/
export type EventStreamFilter = {
	/**
	Adds a chunk of the stream and returns the complete events that were not forwarded before.
	*/
	readonly push: (chunk: Uint8Array) => Uint8Array;
	/**
	Discards the incomplete event of a run that failed.
	*/
	readonly discardPartialEvent: () => void;
	/**
	Id of the last event that was forwarded; before that, the id that the filter was created with.
	*/
	readonly lastEventId: () => number;
	/**
	Bytes of the incomplete event that is buffered.
	*/
	readonly countPartialBytes: () => number;
	/**
	Whether an incomplete event is buffered.
	*/
	readonly hasPartialEvent: () => boolean;
};
