/**
A request to an engine. The engine reports its progress through the callbacks.
*/
export type EngineJob = {
	readonly id: string;
	readonly promptTokens: number;
	/**
	Shared parts of the prompt, in its order.
	*/
	readonly shared: ReadonlyArray<{readonly id: string; readonly tokens: number}>;
	/**
	Events of the whole answer, and the number of the first one to send.
	*/
	readonly events: number;
	readonly firstEvent: number;
	/**
	0 is the most urgent.
	*/
	readonly urgency: number;
	readonly onEvent: (number: number) => void;
	readonly onEnd: () => void;
	/**
	Called when the queue is full; the request has not run.
	*/
	readonly onRefused: () => void;
};
