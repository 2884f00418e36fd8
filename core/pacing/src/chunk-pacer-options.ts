/**
Options of `createChunkPacer`.
*/
export type ChunkPacerOptions = {
	/**
	Small chunks a second that all sources beyond their allowance share.
	*/
	readonly chunksPerS: number;
};
