/**
HTTP interface for callers.
*/
export type CallerApi = {
	/**
	Starts listening; resolves to the address in use.
	*/
	readonly listen: () => Promise<string>;
	/**
	Stops listening and waits until every reply is sent, however slowly its caller reads.
	*/
	readonly close: () => Promise<void>;
	/**
	Stops listening and closes every open connection.
	*/
	readonly closeConnections: () => void;
};
