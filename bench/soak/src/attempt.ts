/**
A caller's attempt as the caller saw it. Times are in milliseconds since the start of the run.
*/
export type Attempt = {
	readonly id: string;
	readonly path: string;
	readonly kind: 'safe' | 'unsafe' | 'stream' | 'resumable';
	/**
	Node that took it, and its process.
	*/
	readonly node: string;
	readonly pid: number;
	readonly sentAt: number;
	readonly endedAt: number;
	/**
	0 when the connection ended without an answer.
	*/
	readonly status: number;
	/**
	Whether the answer came to its end.
	*/
	readonly isWhole: boolean;
	/**
	Its beginning.
	*/
	readonly body: string;
	/**
	Characters of the whole body that came, and what the caller's connection said at a failure.
	*/
	readonly length: number;
	readonly error: string;
};
