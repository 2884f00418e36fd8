/**
What a caller got.
*/
export type CallResult = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string | string[] | undefined>>;
	readonly text: string;
	/**
	Body as JSON; `undefined` when it is none.
	*/
	readonly json: unknown;
};
