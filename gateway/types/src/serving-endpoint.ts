/**
An endpoint's registration.
*/
export type ServingEndpoint = {
	/**
	The same for all incarnations: a restarted process keeps it.
	*/
	readonly id: string;
	/**
	Start time of the process, in Unix milliseconds; identifies the incarnation together with the id. Entries without it count as
	one incarnation.
	*/
	readonly born?: number;
	readonly pool: string;
	/**
	`ip:port`.
	*/
	readonly address: string;
	readonly dataCentre: string;
	/**
	Maximum number of concurrent requests.
	*/
	readonly slots: number;
	readonly state: 'ready' | 'draining';
	/**
	Whether it is a spot replica; all those of a data centre may be reclaimed at once.
	*/
	readonly isSpot?: boolean;
};
