/**
Endpoints that this node has seen fail.
*/
export type FailureTable = {
	readonly record: (endpoint: string, isFailed: boolean) => void;
	readonly isEjected: (endpoint: string) => boolean;
	readonly removeEndpoint: (endpoint: string) => void;
};
