/**
Server of the operator API.
*/
export type OperatorServer = {
	/**
	Starts listening; resolves to the address in use.
	*/
	readonly listen: () => Promise<string>;
	readonly close: () => Promise<void>;
};
