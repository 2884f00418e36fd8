/**
A request as an engine sees it. The functions tell what becomes of it.
*/
export type EngineJob = {
	readonly id: string;
	readonly promptTokens: number;
	/**
	Shared parts of the prompt, in its order.
	*/
	readonly shared: ReadonlyArray<{readonly id: string; readonly tokens: number}>;
	/**
	Events to make, and the number of the first.
	*/
	readonly events: number;
	readonly firstEvent: number;
	/**
	0 first.
	*/
	readonly urgency: number;
	readonly onEvent: (number: number) => void;
	readonly onEnd: () => void;
	/**
	The engine is full or leaving; the request has not run.
	*/
	readonly onRefused: () => void;
};
