/**
A request as it reached the stand-in.
*/
export type ArrivedRequest = {
	/**
	Its first line.
	*/
	readonly line: string;
	/**
	Names in lower case.
	*/
	readonly headers: ReadonlyMap<string, string>;
	/**
	Id of the caller's attempt; empty when it has none.
	*/
	readonly requestId: string;
	/**
	Event after which a stream goes on; -1 for its beginning.
	*/
	readonly lastEventId: number;
	readonly body: string;
	/**
	Number of the connection that it came over, from 1.
	*/
	readonly connection: number;
};
