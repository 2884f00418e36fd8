/**
The right to send one request to one endpoint.
*/
export type Grant = {
	readonly grantId: string;
	readonly endpointId: string;
	readonly url: string;
};
