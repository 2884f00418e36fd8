/**
Load as an engine reports it.
*/
export type EngineLoad = {
	readonly requests: number;
	/**
	Whether the engine is draining.
	*/
	readonly leaving: boolean;
};
