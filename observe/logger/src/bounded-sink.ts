/**
A sink of lines that never makes its writer wait.
*/
export type BoundedSink = {
	readonly stream: {readonly write: (line: string) => void};
	readonly flush: () => Promise<void>;
};
