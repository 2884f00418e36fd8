/**
Options of `createEngineClient`.
*/
export type EngineClientOptions = {
	readonly connectMs: number;
	/**
	Longest wait for the first token, in milliseconds.
	*/
	readonly firstTokenMs: number;
	/**
	Longest pause between tokens, in milliseconds.
	*/
	readonly pauseMs: number;
};
