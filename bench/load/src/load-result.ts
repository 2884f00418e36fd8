/**
What became of one request of a load.
*/
export type LoadResult = {
	readonly className: string;
	readonly account: string;
	readonly wantedTokens: number;
	/**
	Milliseconds since the start of the load.
	*/
	readonly arrivedAt: number;
	readonly outcome: 'complete' | 'refused' | 'failed' | 'wrong';
	readonly firstTokenMs: number | undefined;
	readonly interTokenMs: number | undefined;
	/**
	Tokens that reached the caller.
	*/
	readonly tokens: number;
	readonly reconnects: number;
	readonly isInTime: boolean;
};
