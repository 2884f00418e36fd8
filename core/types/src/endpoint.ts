/**
One replica of a model engine, or one instance of a plain service.
*/
export type Endpoint = {
	readonly id: string;
	readonly pool: string;
	/**
	Base URL, such as `http://10.1.2.3:8000`.
	*/
	readonly url: string;
	readonly dataCentre: string;
	/**
	Initial concurrency limit; the limit then adapts to the observed time between tokens.
	*/
	readonly initialLimit: number;
	/**
	Set by an operator to take the endpoint out of use.
	*/
	readonly leaving: boolean;
	/**
	Memory of an engine for prompts and answers, in tokens; `undefined` if it is not known, so that only slots count.
	*/
	readonly memoryTokens?: number | undefined;
};
