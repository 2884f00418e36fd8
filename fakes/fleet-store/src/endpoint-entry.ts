/**
What an endpoint writes of itself.
*/
export type EndpointEntry = {
	readonly pool: string;
	/**
	`ip:port`.
	*/
	readonly address: string;
	readonly slots: number;
	readonly state: 'ready' | 'draining';
};
