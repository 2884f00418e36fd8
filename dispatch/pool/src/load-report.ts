/**
What an engine says of its load; late, so it only corrects the dispatcher's own count.
*/
export type LoadReport = {
	/**
	Requests that run or wait at the engine.
	*/
	readonly requests: number;
	/**
	The engine's own word that it is leaving.
	*/
	readonly leaving: boolean;
};
