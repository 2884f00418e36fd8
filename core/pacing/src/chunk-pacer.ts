import type {ChunkMeter} from './chunk-meter.ts';
import type {ChunkSource} from './chunk-source.ts';

/**
Shares the time for small chunks among the connections of a process.
*/
export type ChunkPacer = {
	readonly open: (source: ChunkSource) => ChunkMeter;
	/**
	Number of paused sources.
	*/
	readonly countPaused: () => number;
};
