/**
A client account in a load.
*/
export type LoadAccount = {
	readonly name: string;
	readonly key: string;
	/**
	Part of all requests.
	*/
	readonly part: number;
};
