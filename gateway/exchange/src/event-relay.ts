/**
What a piece of an event stream holds.
*/
type RelayedEvents = {
	/**
	Whole events that were not passed on before.
	*/
	readonly bytes: Uint8Array;
	readonly events: number;
};

/**
Passes on whole events of a stream, each once, over several runs of one request.
*/
export type EventRelay = {
	readonly push: (chunk: Uint8Array) => RelayedEvents;
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
	readonly hasRest: () => boolean;
};
