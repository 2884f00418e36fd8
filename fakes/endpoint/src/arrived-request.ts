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
	readonly body: string;
	/**
	Number of the connection that it came over, from 1.
	*/
	readonly connection: number;
};
