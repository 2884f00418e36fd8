/**
An open grant as the dispatcher keeps it.
*/
export type GrantEntry = {
	readonly grantId: string;
	readonly requestId: string;
	readonly node: string;
	readonly endpointId: string;
	readonly account: string;
	readonly className: string;
	readonly isUrgent: boolean;
	readonly grantedAt: number;
	/**
	Last sign of life from the node, in milliseconds since the epoch.
	*/
	readonly renewedAt: number;
	readonly tokens: number;
	/**
	Tokens charged to the account and class so far, ahead of their coming.
	*/
	readonly charged: number;
};
