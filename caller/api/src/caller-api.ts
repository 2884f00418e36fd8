/**
HTTP interface for callers.
*/
export type CallerApi = {
	/**
	Starts to listen; resolves to the address in use.
	*/
	readonly listen: () => Promise<string>;
	/**
	Stops to listen and waits until every reply is out.
	*/
	readonly close: () => Promise<void>;
	/**
	Stops to listen and breaks every open connection.
	*/
	readonly closeConnections: () => void;
};
