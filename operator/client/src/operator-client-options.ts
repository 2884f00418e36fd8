/**
Options of `createOperatorClient`.
*/
export type OperatorClientOptions = {
	/**
	Operators' address of any node, such as `http://127.0.0.1:7300`.
	*/
	readonly url: string;
	readonly token: string;
};
