/**
Keeps the chunks of a body.
*/
export type ChunkCollector = {
	readonly push: (chunk: Uint8Array) => void;
	/**
	Bytes of all chunks.
	*/
	readonly countBytes: () => number;
	/**
	Memory that they take, in bytes.
	*/
	readonly measureHeld: () => number;
	/**
	Last byte of the last chunk; `undefined` while there is none.
	*/
	readonly lastByte: () => number | undefined;
	/**
	Returns the whole body and forgets it.
	*/
	readonly take: () => Uint8Array;
};
