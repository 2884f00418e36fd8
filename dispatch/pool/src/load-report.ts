/**
Load that an engine reports. It lags behind, so it only corrects the dispatcher's own count.
*/
export type LoadReport = {
	/**
	Requests that are running or waiting at the engine.
	*/
	readonly requests: number;
	/**
	Whether the engine reports that it is draining.
	*/
	readonly leaving: boolean;
};
