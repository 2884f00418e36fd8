/**
Options of `createEngineClient`.
*/
export type EngineClientOptions = {
	readonly connectMs: number;
	/**
	Timeout for the response headers, in milliseconds.
	*/
	readonly firstTokenMs: number;
	/**
	Timeout between two chunks of the body, in milliseconds.
	*/
	readonly pauseMs: number;
};
