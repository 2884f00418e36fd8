/**
Counts the chunks of one source.
*/
export type ChunkMeter = {
	/**
	Records a chunk of so many bytes; 0 for a message without any.
	*/
	readonly record: (bytes: number) => void;
	/**
	Ends the metering. A source that is paused is resumed.
	*/
	readonly close: () => void;
};
