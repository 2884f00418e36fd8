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
	/**
	When its process started, in Unix milliseconds; left out by those that do not say.
	*/
	readonly born?: number;
};
