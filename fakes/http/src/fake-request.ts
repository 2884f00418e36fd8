/**
A request as a stand-in's handler sees it.
*/
export type FakeRequest = {
	readonly method: string;
	readonly path: string;
	readonly query: URLSearchParams;
	readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>;
	readonly body: string;
};
