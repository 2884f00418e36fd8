/**
An endpoint as it registered itself.
*/
export type ServingEndpoint = {
	/**
	New at each start of the endpoint.
	*/
	readonly id: string;
	readonly pool: string;
	/**
	`ip:port`.
	*/
	readonly address: string;
	readonly dataCentre: string;
	/**
	Requests that it runs at once.
	*/
	readonly slots: number;
	readonly state: 'ready' | 'draining';
};
