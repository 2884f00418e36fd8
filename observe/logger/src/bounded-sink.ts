/**
Buffered output for log lines. Writing never blocks; lines are dropped while the buffer is full.
*/
export type BoundedSink = {
	readonly stream: {readonly write: (line: string) => void};
	readonly flush: () => Promise<void>;
};
