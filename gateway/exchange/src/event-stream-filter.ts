/**
Passes on whole events of a stream, each once, over several runs of one request.
*/
export type EventStreamFilter = {
	/**
	Takes in a piece of a stream; returns the whole events in it that were not passed on before.
	*/
	readonly push: (chunk: Uint8Array) => Uint8Array;
	/**
	A new run begins: a half event of the one before is dropped.
	*/
	readonly restart: () => void;
	/**
	Id of the last event that was passed on; -1 before the first.
	*/
	readonly lastEventId: () => number;
	/**
	Whether a half event is held.
	*/
	readonly hasPartialEvent: () => boolean;
};
