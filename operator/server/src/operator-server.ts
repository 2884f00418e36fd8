/**
Serves the operators' remote procedure calls.
*/
export type OperatorServer = {
	/**
	Starts to listen; resolves to the address in use.
	*/
	readonly listen: () => Promise<string>;
	readonly close: () => Promise<void>;
};
