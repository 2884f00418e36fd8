/**
An endpoint as it registered itself.
*/
export type ServingEndpoint = {
	/**
	The same for all incarnations: a process may start again under it.
	*/
	readonly id: string;
	/**
	When the process started, in Unix milliseconds: with the id it tells an incarnation from those before. An entry that does not
	say it stands for one incarnation of all time.
	*/
	readonly born?: number;
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
	/**
	Whether it may be reclaimed, with all of its kind in the data centre.
	*/
	readonly isSpot?: boolean;
};
