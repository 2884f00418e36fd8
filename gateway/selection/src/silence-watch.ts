/**
What a node hears from endpoints at which it has work. Times are in milliseconds.
*/
export type SilenceWatch = {
	/**
	A request was sent, whose first piece is due at a time on the steady clock; returns what stands for it.
	*/
	readonly open: (endpoint: string, dueAt: number) => symbol;
	/**
	A piece has come: the endpoint lives, and the next one is due soon.
	*/
	readonly markPiece: (endpoint: string, work: symbol) => void;
	readonly close: (endpoint: string, work: symbol) => void;
	/**
	Nothing is expected until the next piece, since the caller reads slowly.
	*/
	readonly markPaused: (endpoint: string, work: symbol) => void;
	/**
	Whether an endpoint has not been heard within `silenceMs`; `undefined` when it owes this node nothing.
	*/
	readonly isSilent: (endpoint: string, silenceMs: number) => boolean | undefined;
	readonly removeEndpoint: (endpoint: string) => void;
};
