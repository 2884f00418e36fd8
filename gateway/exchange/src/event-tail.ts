/**
Follows an event stream that is passed on as it comes.
*/
export type EventTail = {
	readonly push: (chunk: Uint8Array) => void;
	/**
	Whether the stream so far ends within an event.
	*/
	readonly isWithinEvent: () => boolean;
};
