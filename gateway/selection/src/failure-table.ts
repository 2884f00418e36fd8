/**
Endpoints that this node has seen fail or refuse.
*/
export type FailureTable = {
	readonly record: (endpoint: string, isFailed: boolean) => void;
	/**
	Records that an endpoint refused a request before running it: it is sound, and passed over for a moment.
	*/
	readonly recordRefusal: (endpoint: string) => void;
	/**
	Ejects an endpoint at once.
	*/
	readonly eject: (endpoint: string) => void;
	readonly isEjected: (endpoint: string) => boolean;
	readonly removeEndpoint: (endpoint: string) => void;
};
