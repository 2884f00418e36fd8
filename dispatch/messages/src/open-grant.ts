/**
An open grant that a node registers with a new dispatcher.
*/
export type OpenGrant = {
	readonly grantId: string;
	readonly requestId: string;
	readonly endpointId: string;
	readonly account: string;
	readonly className: string;
	readonly tokens: number;
};
