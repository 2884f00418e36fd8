import type {ChunkSource} from './chunk-source.ts';

/**
Spreads the reads of coarse sources over turns of the event loop.
*/
export type TurnQueue = {
	/**
	Adds a source that is read.
	*/
	readonly add: (source: ChunkSource) => void;
	/**
	Removes a source that is paused or has ended; returns whether it waited for a turn.
	*/
	readonly remove: (source: ChunkSource) => boolean;
	/**
	Pauses all sources; each is resumed in a later turn of its own.
	*/
	readonly setAside: () => void;
};
