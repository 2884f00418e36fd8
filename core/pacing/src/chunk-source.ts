/**
A connection that sends chunks.
*/
export type ChunkSource = {
	/**
	Stops reading. Chunks that were read already may follow.
	*/
	readonly pause: () => void;
	/**
	Whether all chunks of a read come before `pause` has an effect.
	*/
	readonly isCoarse: boolean;
	/**
	Reads on. It may call `record` before it returns.
	*/
	readonly resume: () => void;
	/**
	Called once, when the source is paused for the first time.
	*/
	readonly onSlowed: () => void;
};
