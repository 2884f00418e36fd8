/**
Options of `createOperatorClient`.
*/
export type OperatorClientOptions = {
	/**
	Address of any node's operator API, such as `http://127.0.0.1:7300`.
	*/
	readonly url: string;
	readonly token: string;
};
