/**
Endpoints that this node has seen fail.
*/
export type FailureTable = {
	readonly record: (endpoint: string, isFailed: boolean) => void;
	/**
	Ejects an endpoint at once.
	*/
	readonly eject: (endpoint: string) => void;
	readonly isEjected: (endpoint: string) => boolean;
	readonly removeEndpoint: (endpoint: string) => void;
};
