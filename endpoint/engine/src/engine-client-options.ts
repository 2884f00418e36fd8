/**
Options of `createEngineClient`.
*/
export type EngineClientOptions = {
	readonly connectMs: number;
	/**
	Timeout for the first token, in milliseconds, whether or not the response headers came before it.
	*/
	readonly firstTokenMs: number;
	/**
	Timeout between two chunks of the body after the first token, in milliseconds.
	*/
	readonly pauseMs: number;
};
